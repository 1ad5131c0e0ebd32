# The part that the scripts of mutants share. Words on their command line: only those whose description has them.
set -u
top=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
copy=$(mktemp -d)
trap 'git -C "$top" worktree remove --force "$copy" >/dev/null 2>&1' EXIT
git -C "$top" worktree add -q --detach "$copy" HEAD || exit 1
export CARGO_TARGET_DIR="$top/target/mutants"
missed=0
only=${*:-}
# What is broken, the file, from, to (perl), and the check.
mutant() {
    local what=$1 file=$2 from=$3 to=$4
    [[ $what == *"$only"* ]] || return
    shift 4
    cd "$copy" && git checkout -q -- .
    FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/ or die "not found"' "$file" || { echo "NOT APPLIED: $what"; missed=1; return; }
    if timeout 300 cargo test -q "$@" >/dev/null 2>&1; then
        echo "MISSED: $what ($*)"
        missed=1
    else
        echo "caught: $what ($*)"
    fi
}
