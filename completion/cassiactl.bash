# Completion of cassiactl for bash.

# First column of the table that a command prints.
_cassiactl_names() {
	cassiactl --timeout-ms 500 "$@" 2>/dev/null | awk 'NR > 1 { print $1 }' | sort -u
}

_cassiactl() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]} word cmd= sub= args=0 i
	local common='--store --platform --instance --address --by --timeout-ms --json --version --help'
	local commands='status zones servers classes targets top burn drain class apply diff show history settle keys locate explain routes'
	local takes_value=' --store --platform --host --instance --address --by --timeout-ms --deadline --start --service --zone --state --interval --samples --window --record --html --text --from '
	COMPREPLY=()
	for ((i = 1; i < COMP_CWORD; i++)); do
		word=${COMP_WORDS[i]}
		case $word in
		--*) [[ $takes_value == *" $word "* ]] && i=$((i + 1)) ;;
		*)
			if [ -z "$cmd" ]; then
				cmd=$word
			elif [ -z "$sub" ] && { [ "$cmd" = drain ] || [ "$cmd" = class ]; }; then
				sub=$word
			else
				args=$((args + 1))
			fi
			;;
		esac
	done
	case $prev in
	--record | --html)
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
		;;
	--state)
		mapfile -t COMPREPLY < <(compgen -W 'ready starting draining down' -- "$cur")
		return
		;;
	--zone)
		mapfile -t COMPREPLY < <(compgen -W "$(_cassiactl_names zones)" -- "$cur")
		return
		;;
	--from)
		mapfile -t COMPREPLY < <(compgen -W "$(cassiactl --timeout-ms 500 status 2>/dev/null | awk '/^INSTANCE/ { on = 1; next } on { print $1 }')" -- "$cur")
		return
		;;
	esac
	[[ $takes_value == *" $prev "* ]] && return
	if [[ $cur == -* ]]; then
		case $cmd${sub:+ $sub} in
		'drain start') common="$common --deadline --start --replace --wait" ;;
		'drain status') common="$common --wait" ;;
		routes) common="$common --host" ;;
		servers) common="$common --service --zone --state" ;;
		top) common="$common --interval --samples" ;;
		burn) common="$common --window --interval --samples --record --html" ;;
		apply) common="$common --text" ;;
		keys) common="$common --markdown" ;;
		locate) common="$common --from" ;;
		explain) common="$common --from --logs" ;;
		esac
		mapfile -t COMPREPLY < <(compgen -W "$common" -- "$cur")
		return
	fi
	case $cmd${sub:+ $sub} in
	'') mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$cur") ;;
	drain) mapfile -t COMPREPLY < <(compgen -W 'start status cancel' -- "$cur") ;;
	class) mapfile -t COMPREPLY < <(compgen -W 'set' -- "$cur") ;;
	drain\ *) mapfile -t COMPREPLY < <(compgen -W "$(_cassiactl_names zones) $(cassiactl --timeout-ms 500 zones 2>/dev/null | awk 'NR > 1 { print $2 }' | sort -u)" -- "$cur") ;;
	'class set')
		if [ $args -eq 0 ]; then
			mapfile -t COMPREPLY < <(compgen -W "$(_cassiactl_names classes)" -- "$cur")
		else
			compopt -o nospace
			mapfile -t COMPREPLY < <(compgen -S = -W 'service idempotent bulk latency_target_ms percentile availability_pct headroom_pct max_body_kb timeout_ms priority' -- "$cur")
		fi
		;;
	locate | explain) [ $args -eq 0 ] && mapfile -t COMPREPLY < <(compgen -W "$(_cassiactl_names classes)" -- "$cur") ;;
	settle) mapfile -t COMPREPLY < <(compgen -W "$(cassiactl --timeout-ms 500 history 2>/dev/null | awk 'NR > 1 { print $4 }')" -- "$cur") ;;
	apply | diff) mapfile -t COMPREPLY < <(compgen -f -- "$cur") ;;
	esac
}

complete -F _cassiactl cassiactl
