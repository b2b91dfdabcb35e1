CC = gcc
PKGS = neon libcurl libmicrohttpd libzmq glib-2.0 yajl libxxhash libuv
BUILD ?= build
SAN ?=
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wno-unused-parameter
# As distributions build network daemons; the sanitizers bring checks of their own.
HARDEN = $(if $(SAN),,-D_FORTIFY_SOURCE=2 -fstack-protector-strong -fPIE)
HARDEN_LINK = $(if $(SAN),,-pie -Wl$(comma)-z$(comma)relro$(comma)-z$(comma)now)
comma = ,
CFLAGS = -std=gnu11 -O2 -g -D_GNU_SOURCE -Isrc -I. $(WARN) $(HARDEN) $(SAN) $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lmsgpackc -lurcu-bp -lurcu-common -lpthread -lm

# libamaranthwall.a holds the coordination core alone, for embedding (examples/embed.c).
# libinternal.a holds all code that the programs, the stand-ins and the tests share.
CORE = $(wildcard src/core/*.c)
INTERNAL = $(CORE) $(wildcard src/filter/*.c src/edge/*.c src/settings/*.c src/daemon/*.c src/gateway/*.c platform/*.c)
CMD = $(wildcard src/cmd/*.c)
STANDIN = $(wildcard standin/*.c)
LOAD = $(wildcard load/*.c)
TESTS = $(wildcard tests/test_*.c)
OBJ = $(patsubst %.c,$(BUILD)/obj/%.o,$(1))

all: deps
	@$(MAKE) --no-print-directory build

build: $(BUILD)/amaranthwall $(BUILD)/amaranthwall-standin $(BUILD)/amaranthwall-load $(BUILD)/libamaranthwall.a

deps:
	@scripts/deps.sh

$(BUILD)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/libamaranthwall.a: $(call OBJ,$(CORE))
	ar rcs $@ $^

$(BUILD)/libinternal.a: $(call OBJ,$(INTERNAL))
	ar rcs $@ $^

$(BUILD)/libstandin.a: $(call OBJ,$(filter-out standin/main.c,$(STANDIN)))
	ar rcs $@ $^

$(BUILD)/amaranthwall: $(call OBJ,$(CMD)) $(BUILD)/libinternal.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ $(LIBS)

$(BUILD)/amaranthwall-standin: $(BUILD)/obj/standin/main.o $(BUILD)/libstandin.a $(BUILD)/libinternal.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ $(LIBS)

$(BUILD)/amaranthwall-load: $(call OBJ,$(LOAD)) $(BUILD)/libstandin.a $(BUILD)/libinternal.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ $(LIBS)

$(BUILD)/embed: $(BUILD)/obj/examples/embed.o $(BUILD)/libamaranthwall.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ -lxxhash

$(BUILD)/micro: $(BUILD)/obj/bench/micro.o $(BUILD)/obj/src/edge/clock.o $(BUILD)/libamaranthwall.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ -lxxhash

$(BUILD)/summary: $(BUILD)/obj/bench/summary.o $(BUILD)/libinternal.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ $(LIBS)

$(BUILD)/bodies: $(BUILD)/obj/bench/bodies.o $(BUILD)/obj/tests/program.o $(BUILD)/obj/tests/gateway_fixture.o $(BUILD)/libstandin.a $(BUILD)/libinternal.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ -lcmocka $(LIBS)

$(BUILD)/test_%: $(BUILD)/obj/tests/test_%.o $(BUILD)/obj/tests/harness.o $(BUILD)/obj/tests/gateway_fixture.o $(BUILD)/obj/tests/program.o $(BUILD)/obj/tests/raw_answers.o $(BUILD)/obj/tests/engine_sim.o $(BUILD)/obj/tests/fleet_sim.o $(BUILD)/obj/tests/mixed_load.o $(BUILD)/libstandin.a $(BUILD)/libinternal.a
	$(CC) $(SAN) $(HARDEN_LINK) -o $@ $^ -lcmocka $(LIBS)

test-programs: $(patsubst tests/%.c,$(BUILD)/%,$(TESTS))

demo: all
	@scripts/demo.sh

check: all
	@scripts/check.sh

soak: all
	@scripts/soak.sh

bench: all
	@scripts/bench.sh full

bench-quick: all
	@scripts/bench.sh quick

bench-capacity: all $(BUILD)/micro
	@bench/capacity.sh
	@bench/overhead.sh
	@bench/flood.sh
	@bench/recovery.sh
	@for size in "8 16 2 23" "100 2000 6 1100" "370 2000 6 300" "370 200 6 1100" "370 2000 6 1100"; do \
		$(BUILD)/micro $$size; done

plots:
	@scripts/plots.sh

lint: deps
	@scripts/lint.sh

format:
	clang-format -i $(wildcard src/*/*.[ch] platform/*.[ch] standin/*.[ch] load/*.[ch] tests/*.[ch] examples/*.c bench/*.c)

clean:
	rm -rf build build-asan build-tsan

-include $(shell find $(BUILD)/obj -name '*.d' 2>/dev/null)
.SECONDARY:
.PHONY: all build deps demo check soak bench bench-quick bench-capacity plots lint format clean test-programs
