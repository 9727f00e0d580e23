# Runs the program of a case; to be sourced by its run.sh, which sets $number.
# The program ends all processes that it starts, also when it is ended itself.
cd "$(dirname "$0")/.." || exit 2
while [ ! -d review ]; do
	cd .. || exit 2
	[ "$PWD" != / ] || exit 2
done
program=build-review/case-$(echo "$number" | tr / -)
daemon=target/sassafrasd-platform
[ -x "$program" ] && [ -x "$daemon" ] || {
	echo "build first: the build line of deploy/system.toml, review/build.sh"
	exit 2
}
folder=$(mktemp -d) || exit 2
child=
trap 'rm -rf "$folder"' EXIT
trap 'kill "$child" 2>/dev/null; exit 2' INT TERM
TROUBLE=${TROUBLE:-1} "$program" review/stand_in "review/$number" \
	"$daemon" platform/settings.json.in "$folder" &
child=$!
wait "$child"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
	mkdir -p "$KEEP_LOGS" && cp "$folder"/* "$KEEP_LOGS"
fi
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
