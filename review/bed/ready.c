/*
 * Asks once whether an entry host is ready. Usage: ready IP:PORT WIRE
 */
#include "bed.h"

int main(int argc, char **argv)
{
	static bed_message_t message;
	char request[256];
	int size;
	int fd;

	if (argc != 3)
		return 2;
	bed_read_names(argv[2]);
	fd = bed_connect(argv[1], 0);
	if (fd < 0)
		return 1;
	size = snprintf(request, sizeof(request),
			"GET %s HTTP/1.1\r\nHost: ready\r\n\r\n",
			bed_name("ready"));
	if (!bed_send(fd, request, (size_t)size) ||
	    bed_read_head(fd, &message, bed_now_ms() + 1000) <= 0)
		return 1;
	return strncmp(message.head + 9, "200", 3) != 0;
}
