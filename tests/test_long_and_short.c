#include "tests/mixed_load.h"
int main(void)
{
	static const mixed_load_t loads[] = {
	 {.name = "mixed", .digests = 100, .chats = 70, .tags = 165},
	 {.name = "light", .digests = 60, .chats = 42, .tags = 100},
	 {.name = "flood of long", .digests = 220, .chats = 30, .tags = 60},
	 {.name = "flood of short", .digests = 20, .chats = 250, .tags = 600},
	 {.name = "one for one", .digests = 100, .chats = 100},
	 {.name = "equal speeds", .digests = 100, .chats = 70, .tags = 165, .equal_speeds = true},
	 {.name = "cold", .digests = 100, .chats = 70, .tags = 165, .cold = 20},
	 {.name = "one engine", .digests = 0.5, .chats = 1, .tags = 2, .engines = 1},
	 {.name = "no load", .digests = 0.2, .chats = 0.1, .tags = 0.2},
	 {.name = "alike", .all_alike = 400},
	};
	for (unsigned int i = 0; i < sizeof(loads)/sizeof(loads[0]); i++) mixed_load_play(&loads[i]);
	return 0;
}
