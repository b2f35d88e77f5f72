# Shared by the scripts: builds the programs, starts and stops a fleet.
# Only processes started here are ended, by their ids.

set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
target=${CARGO_TARGET_DIR:-$root/target}
bin=$target/release
export RUST_BACKTRACE=0

build() {
    (cd "$root" && cargo build --release --workspace --locked --quiet)
}

# start DIR NAME COMMAND...: runs a command in the background, with its log in
# DIR, and its process id and start time in NAME.pid there.
start() {
    local dir=$1 name=$2
    shift 2
    "$@" >>"$dir/$name.log" 2>&1 &
    echo "$! $(started_at $!)" >"$dir/$name.pid"
    # A process that is killed on purpose is not worth a line of the shell.
    disown
}

# started_at PID: the start time of a process in the system's ticks since boot;
# nothing if there is no such process. The name before it may hold spaces.
started_at() {
    sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | cut -d ' ' -f 20
}

# pid_of DIR NAME: the id of a process, whether it still runs or not.
pid_of() {
    local pid started
    read -r pid started <"$1/$2.pid"
    echo "$pid"
}

# runs DIR NAME: whether a process that was started still runs. Its file stays
# behind when the shell that started it is killed, and another process may have
# its id by then: that one has another start time.
runs() {
    local pid started
    [ -f "$1/$2.pid" ] && read -r pid started <"$1/$2.pid" || return 1
    [ -n "$started" ] && [ "$(started_at "$pid")" = "$started" ]
}

# any_runs DIR: whether any process that was started with DIR still runs.
any_runs() {
    local file
    for file in "$1"/*.pid; do
        if runs "$1" "$(basename "$file" .pid)"; then return 0; fi
    done
    return 1
}

# finish DIR NAME [SIGNAL]: ends one process of DIR and waits for it.
finish() {
    local dir=$1 name=$2 signal=${3:-TERM} pid
    [ -f "$dir/$name.pid" ] || return 0
    if runs "$dir" "$name"; then
        pid=$(pid_of "$dir" "$name")
        kill "-$signal" "$pid" 2>/dev/null || true
        # Not always a child of this shell.
        while runs "$dir" "$name"; do sleep 0.05; done
    fi
    rm -f "$dir/$name.pid"
}

finish_all() {
    local dir=$1 file
    for file in "$dir"/*.pid; do
        [ -f "$file" ] || continue
        finish "$dir" "$(basename "$file" .pid)" KILL
    done
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
    local tries=$(($1 * 10)) i
    shift
    for ((i = 0; i < tries; i++)); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

# fleet DIR ARGUMENTS...: writes the files of a fleet (tidepier-load fleet) and
# starts its stand-ins and routers; applies its document.
fleet() {
    local dir=$1 file name
    shift
    mkdir -p "$dir"
    "$bin/tidepier-load" fleet --dir "$dir" "$@"
    start "$dir" standin env SMOL_THREADS=4 "$bin/tidepier-standin" --settings "$dir/standin.json"
    for file in "$dir"/box-*.json; do
        name=$(basename "$file" .json)
        start "$dir" "$name" "$bin/tidepier-router" --settings "$file"
    done
    export TIDEPIER_OPERATOR_KEY=operator-example-key
    local admin
    admin=$(field "$dir"/"$(first_box "$dir")".json admin)
    export TIDEPIER_AT=$admin
    wait_for 20 "$bin/tidepier" status
    sleep 1
    "$bin/tidepier" apply "$dir/document.json" --author scripts --wait 30 >>"$dir/apply.log"
    # The first keeper of a pool waits for a takeover before it grants.
    sleep 2
}

first_box() {
    basename "$(ls "$1"/box-*.json | head -n 1)" .json
}

# field FILE NAME: a string field at the top of a settings file.
field() {
    sed -n "s/^  \"$2\": \"\(.*\)\",\{0,1\}$/\1/p" "$1"
}

# routers DIR: the callers' addresses, with commas.
routers() {
    local file
    for file in "$1"/box-*.json; do field "$file" callers; done | paste -sd, -
}
