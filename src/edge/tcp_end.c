#include "edge/tcp_end.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

bool tcp_end_was_reset(int fd)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);
	char byte;

	if (recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) < 0)
		return true;
	return !getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) && info.tcpi_state == TCP_CLOSE;
}

bool tcp_end_is_pending(int fd)
{
	int bytes = 0;

	return !ioctl(fd, SIOCOUTQ, &bytes) && bytes;
}
