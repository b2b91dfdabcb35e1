# Shell functions for the demo, the process tests and the benchmarks: start a fleet
# and its stand-ins on loopback, and kill by process id whatever they started.
#
#   BASE     first port (default 21000)      RUN      directory for settings and logs
#   ROUTERS  number of routers (8)           POLICY   fleet, fixed, least or forward
#   BIN      directory of the binaries       VERBOSE  if set, routers log each request
#            (build)                         PROXIED  if set, routers reach each other and the
#                                                     platform through proxies, see silence()

BASE=${BASE:-21000}
ROUTERS=${ROUTERS:-8}
POLICY=${POLICY:-fleet}
BIN=${BIN:-build}
HOST=127.0.0.1
TOKEN=operators-secret
PLATFORM=$HOST:$BASE
PLATFORM_PROXY=$HOST:$((BASE + 50))

caller_of() { echo "$HOST:$((BASE + 100 + $1))"; }
operator_of() { echo "$HOST:$((BASE + 200 + $1))"; }
peer_of() { echo "$HOST:$((BASE + 300 + $1))"; }
peer_proxy_of() { echo "$HOST:$((BASE + 350 + $1))"; }
engine_of() { echo "$HOST:$((BASE + 400 + $1))"; }
service_of() { echo "$HOST:$((BASE + 500 + $1))"; }
settings_of() { echo "$RUN/router-$1.json"; }
all_callers() { local i s=; for i in $(seq 0 $((ROUTERS - 1))); do s="$s,$(caller_of "$i")"; done; echo "${s#,}"; }

fleet_init() {
	RUN=${RUN:-$(mktemp -d)}
	mkdir -p "$RUN"
	PIDS=()
	declare -gA ROUTER_PID
}

# wait_for SECONDS COMMAND...: runs the command until it succeeds; 1 after SECONDS.
wait_for() {
	local left=$(($1 * 20))
	shift
	until "$@" >/dev/null 2>&1; do
		left=$((left - 1))
		[ $left -gt 0 ] || { echo "timed out waiting for: $*" >&2; return 1; }
		sleep 0.05
	done
}

get() { curl -s -m 5 "http://$1"; }
post() { curl -s -m 5 -o /dev/null -d "$2" "http://$1"; }
get_ok() { curl -sf -m 2 -o /dev/null "http://$1"; }

start_platform() {
	"$BIN/amaranthwall-standin" platform --listen "$PLATFORM" 2>"$RUN/platform.log" &
	PIDS+=($!)
	wait_for 10 get_ok "$PLATFORM/stats"
}

# start_engines COUNT [OPTIONS...]: options of "amaranthwall-standin engines"
start_engines() {
	local count=$1
	shift
	"$BIN/amaranthwall-standin" engines --listen "$(engine_of 0)" --count "$count" "$@" 2>"$RUN/engines.log" &
	ENGINES_PID=$!
	ENGINE_COUNT=$count
	PIDS+=($ENGINES_PID)
	wait_for 10 get_ok "$(engine_of $((count - 1)))/load"
}

# start_services COUNT [OPTIONS...]: options of "amaranthwall-standin services"
start_services() {
	local count=$1
	shift
	"$BIN/amaranthwall-standin" services --listen "$(service_of 0)" --count "$count" "$@" 2>"$RUN/services.log" &
	SERVICES_PID=$!
	SERVICE_COUNT=$count
	PIDS+=($SERVICES_PID)
	wait_for 10 get_ok "$(service_of $((count - 1)))/load"
}

# all_engines JSON, all_services JSON, platform_control JSON: set faults in the stand-ins
all_engines() { local i; for i in $(seq 0 $((ENGINE_COUNT - 1))); do post "$(engine_of "$i")/control" "$1"; done; }
all_services() { local i; for i in $(seq 0 $((SERVICE_COUNT - 1))); do post "$(service_of "$i")/control" "$1"; done; }
platform_control() { post "$PLATFORM/control" "$1"; }
list_instance() { post "$PLATFORM/control/instance" "{\"name\":\"$1\",\"address\":\"$2\",\"state\":\"$3\"}"; }

# start_proxies: before the platform and each router's peer port
start_proxies() {
	"$BIN/amaranthwall-standin" proxies --listen "$PLATFORM_PROXY" --target "$PLATFORM" 2>"$RUN/platform-proxy.log" &
	PROXY_PIDS=($!)
	"$BIN/amaranthwall-standin" proxies --listen "$(peer_proxy_of 0)" --target "$(peer_of 0)" --count "$ROUTERS" 2>"$RUN/peer-proxies.log" &
	PROXY_PIDS+=($!)
	PIDS+=("${PROXY_PIDS[@]}")
	wait_for 10 get_ok "$PLATFORM_PROXY/stats"
}

# silence: all connections that are open through the proxies bring nothing any more
silence() { kill -USR1 "${PROXY_PIDS[@]}"; }

write_keys() {
	local i
	for i in $(seq 0 $((ROUTERS - 1))); do
		"$BIN/amaranthwall" keygen >"$RUN/key-$i"
	done
}

public_key() { sed -n 's/^"public_key": "\(.*\)",$/\1/p' "$RUN/key-$1"; }
secret_key() { sed -n 's/^"secret_key": "\(.*\)",$/\1/p' "$RUN/key-$1"; }

write_settings() {
	local i j comma domains="a b c" platform=$PLATFORM peer=peer_of
	[ -z "${PROXIED:-}" ] || { platform=$PLATFORM_PROXY; peer=peer_proxy_of; }
	[ -f "$RUN/key-0" ] || write_keys
	for i in $(seq 0 $((ROUTERS - 1))); do
		{
			echo "{"
			echo "	// written by scripts/fleet.sh"
			echo "	\"name\": \"router-$i\", \"failure_domain\": \"domain-$((i % 3))\","
			echo "	\"caller_address\": \"$(caller_of "$i")\", \"operator_address\": \"$(operator_of "$i")\","
			echo "	\"peer_address\": \"$(peer_of "$i")\", \"platform_address\": \"$platform\","
			echo "	\"operator_token\": \"$TOKEN\", \"policy\": \"$POLICY\","
			echo "	\"store_timeout_ms\": 1000, \"drain_timeout_ms\": 60000,"
			cat "$RUN/key-$i"
			echo "	\"peers\": ["
			comma=
			for j in $(seq 0 $((ROUTERS - 1))); do
				[ "$i" = "$j" ] && continue
				echo "		$comma{\"name\": \"router-$j\", \"address\": \"$($peer "$j")\","
				echo "		\"operator_address\": \"$(operator_of "$j")\", \"public_key\": \"$(public_key "$j")\"}"
				comma=,
			done
			echo "	]"
			echo "}"
		} >"$(settings_of "$i")"
	done
}

# start_router NUMBER: starts the router and adds it to the platform's instance list.
start_router() {
	"$BIN/amaranthwall" router --settings "$(settings_of "$1")" ${VERBOSE:+--verbose} 2>>"$RUN/router-$1.log" &
	ROUTER_PID[$1]=$!
	PIDS+=($!)
	list_instance "router-$1" "$(operator_of "$1")" live
}

start_routers() {
	local i
	for i in $(seq 0 $((ROUTERS - 1))); do start_router "$i"; done
}

# wait_ready [NUMBERS]: until these routers, or all, are ready.
wait_ready() {
	local i
	for i in ${1:-$(seq 0 $((ROUTERS - 1)))}; do wait_for 15 get_ok "$(operator_of "$i")/ready" || return 1; done
}

# members_alive NUMBER: how many routers this one sees as alive, itself included
members_alive() { get "$(operator_of "$1")/metrics" | sed -n 's/^amaranthwall_members_alive //p'; }
# all_see COUNT: true when every router sees COUNT routers alive.
all_see() { local i; for i in $(seq 0 $((ROUTERS - 1))); do [ "$(members_alive "$i")" = "$1" ] || return 1; done; }
# metric_of NUMBER NAME
metric_of() { get "$(operator_of "$1")/metrics" | sed -n "s/^amaranthwall_$2 //p"; }
# config_version NUMBER: version of the fleet configuration that this router applies
config_version() { get "$(operator_of "$1")/status" | sed -n 's/.*"text_version":\([0-9]*\).*/\1/p'; }

sha() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# write_config FILE MODEL PLAIN SLOTS PLAIN_SLOTS [WEIGHTS...]: writes the configuration
# of a fleet with a model service and a plain service, and workspaces w0, w1, ... whose
# tokens are t-w0, t-w1, ...  LONG_COST, LONG_SHARE, DEPENDS (the model service depends
# on the plain one) and DEADLINE_MS change it.
write_config() {
	local file=$1 model=$2 plain=$3 slots=$4 plain_slots=$5 i comma
	shift 5
	{
		echo "{"
		echo "	// fleet configuration of $model and $plain"
		echo "	\"services\": ["
		echo "		{\"name\": \"$model\", \"kind\": \"model\", \"long_cost\": ${LONG_COST:-200}, \"long_share\": ${LONG_SHARE:-60}${DEPENDS:+, \"depends_on\": [\"$plain\"]}},"
		echo "		{\"name\": \"$plain\", \"kind\": \"plain\"}"
		echo "	],"
		echo "	\"endpoints\": ["
		for i in $(seq 0 $((ENGINE_COUNT - 1))); do
			echo "		{\"name\": \"$model-$i\", \"service\": \"$model\", \"address\": \"$(engine_of "$i")\", \"slots\": $slots, \"failure_domain\": \"domain-$((i % 3))\"},"
		done
		comma=
		for i in $(seq 0 $((SERVICE_COUNT - 1))); do
			echo "		$comma{\"name\": \"$plain-$i\", \"service\": \"$plain\", \"address\": \"$(service_of "$i")\", \"slots\": $plain_slots, \"failure_domain\": \"domain-$((i % 3))\"}"
			comma=,
		done
		echo "	],"
		echo "	\"workspaces\": ["
		comma=
		i=0
		for weight in ${*:-4 1 1}; do
			echo "		$comma{\"name\": \"w$i\", \"weight\": $weight, \"tokens\": [\"sha256:$(sha "t-w$i")\"]}"
			comma=,
			i=$((i + 1))
		done
		echo "	],"
		echo "	\"routes\": ["
		echo "		{\"path\": \"/v1/chat/completions\", \"method\": \"POST\", \"service\": \"by-model\", \"repeatable\": true, \"deadline_ms\": ${DEADLINE_MS:-10000}, \"first_byte_ms\": 1800},"
		echo "		{\"path\": \"/orders\", \"method\": \"POST\", \"service\": \"$plain\", \"repeatable\": false, \"key\": \"required\", \"deadline_ms\": 5000, \"first_byte_ms\": 1000},"
		echo "		{\"path\": \"/once\", \"method\": \"POST\", \"service\": \"$plain\", \"repeatable\": false, \"key\": \"optional\", \"deadline_ms\": 5000},"
		echo "		{\"path\": \"/stock/*\", \"service\": \"$plain\", \"repeatable\": true, \"deadline_ms\": 5000}"
		echo "	]"
		echo "}"
	} >"$file"
}

# put_config FILE VERSION [OPTIONS...]: replaces VERSION of the fleet configuration (0: none yet).
put_config() { "$BIN/amaranthwall" fleet put "$1" --settings "$(settings_of 0)" --expect "$2" "${@:3}"; }

# fleet_up MODEL PLAIN SLOTS PLAIN_SLOTS [WEIGHTS...]: starts the routers, puts their
# fleet configuration and waits until all apply it and see each other.  Keeps
# settings files that exist already.
fleet_up() {
	[ -f "$(settings_of 0)" ] || write_settings
	start_routers
	write_config "$RUN/config.json" "$@"
	put_config "$RUN/config.json" 0 --wait >/dev/null && wait_ready && wait_for 20 all_see "$ROUTERS"
}

# stop_router NUMBER: planned stop; returns the exit code of the router.
stop_router() {
	local code=0
	kill -TERM "${ROUTER_PID[$1]}" 2>/dev/null
	wait "${ROUTER_PID[$1]}" || code=$?
	return $code
}

kill_router() {
	kill -KILL "${ROUTER_PID[$1]}"
	wait "${ROUTER_PID[$1]}" 2>/dev/null
}

# Kills whatever runs; sends SIGCONT first, as a test may have left a process stopped.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	PIDS=()
}
