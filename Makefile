# Shortcuts for CMake, the tests and the checks. Variables: BUILD, the build
# directory; SEED and RUNS of prove, SEED also of soak and bench; DEMO_FLAGS, options of
# test/demo.
BUILD ?= build
SEED ?= 1
RUNS ?= 10000
C_FILES = $(shell git ls-files '*.c' '*.h' | grep -v '/gen/')

all: $(BUILD)/Makefile
	cmake --build $(BUILD) -j 10

$(BUILD)/Makefile:
	cmake -S . -B $(BUILD)

test: all
	sh test/run $(BUILD)

demo: all
	sh test/demo $(BUILD) $(DEMO_FLAGS)

prove: all
	$(BUILD)/sassafras-prove --seed $(SEED) --runs $(RUNS)

soak: all
	$(BUILD)/sassafras-soak --seed $(SEED) --verbose

bench: all
	$(BUILD)/sassafras-bench --seed $(SEED)

fuzz:
	CC=clang cmake -S . -B build-fuzz -DSR_FUZZ=ON -DSR_SANITIZE=ON
	cmake --build build-fuzz -j 10

sanitize:
	CC=gcc cmake -S . -B build-asan -DSR_SANITIZE=ON
	cmake --build build-asan -j 10
	sh test/run build-asan

format:
	clang-format -i $(C_FILES)

format-check:
	clang-format --dry-run --Werror $(C_FILES)

lint: $(BUILD)/Makefile
	sh .ci/lint $(BUILD) $(C_FILES)

clean:
	rm -rf $(BUILD) build-asan build-fuzz

.PHONY: all test demo prove soak bench fuzz sanitize format format-check lint clean
