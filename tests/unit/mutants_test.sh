#!/usr/bin/env bash
# Runs tests of the forwarder without the mechanism that each one is for. They must fail, and must pass
# with all mechanisms. Argument: the path of the program `forward_tests_mutants`.
set -uo pipefail
tests=$1
declare -A test_of=(
  [forwarder_keeps_endless_events]=forward_endless_answer/ends_a_call_whose_answer_is_none
  [forwarder_ignores_slow_callers]=forward_endless_answer/reads_no_faster_than_the_caller
  [forwarder_ignores_finished_answers]=forward_slow_reader/holds_few_answers_of_many_callers
  [forwarder_takes_requests_without_memory]=forward_slow_reader/refuses_requests_while_too_much_is_held
  [kernel_holds_unsent_bytes]=forward_slow_reader/holds_little_of_many_streams
  [forwarder_drops_undelivered_bytes]=forward_slow_reader/gets_what_arrived_of_a_cut_answer
  [forwarder_keeps_finished_answers_paused]=forward_slow_reader/leaves_no_connection_unread
  [forwarder_ignores_detached_bodies]=forward_slow_reader/holds_few_bodies_of_a_slow_endpoint
  [interim_response_is_final]=forward_late_copy/passes_over_interim_responses
  [forwarder_accepts_late_copies]=forward_late_copy/is_skipped_while_the_next_request_waits
  [forwarder_accepts_unconfirmed_keys]=forward_pause/sends_nothing_with_a_key_that_was_not_confirmed_since
  [timers_run_before_events]=forward_pause/delivers_an_answer_that_arrived_during_a_pause
  [forwarder_quarantines_no_prompts]=forward_crashing_prompt/goes_to_few_endpoints
  [forwarder_ignores_limits]=forward_request_limit/is_kept_while_the_other_endpoint_serves_the_rest
  [forwarder_returns_prompts_at_once]=load_bound/holds_soon_after_request_limits
  [forwarder_takes_requests_until_it_stops]=forward_stop/refuses_a_late_request_that_may_outlast_the_stop
  [forwarder_gives_up_silent_attempts]=forward_silence/keeps_a_paused_stream_when_the_other_endpoint_is_full
  [forwarder_ignores_announced_leaving]=forward_leaving/is_read_from_each_kind_of_answer
  [forwarder_reads_leaving_from_successes_only]=forward_leaving/is_read_from_each_kind_of_answer
  [forwarder_forgets_leaving_with_the_entry]=forward_leaving/holds_for_the_process_that_announced_it
  [forwarder_keeps_leaving_for_the_next_process]=forward_leaving/holds_for_the_process_that_announced_it
  [forwarder_uses_kept_connection_once_more]="forward_*/*delayed_step"
  [forwarder_sends_on_opened_connections_anyway]="forward_*/*connection_that_was_being_opened"
  [forwarder_sends_probes_during_pauses]=forward_refusal_pause/holds_for_the_probe_of_the_breaker
  [forwarder_ignores_pauses]=forward_refusal_pause/is_kept
  [forwarder_shortens_pauses]=refusal_pause/is_not_shortened_by_a_later_refusal
  [forwarder_ignores_evacuations]=forward_evacuation/takes_the_endpoints_of_the_zone_out_of_use
  [forwarder_retries_at_closed_endpoints]=forward_evacuation/gets_no_retry_and_no_continued_stream
  [forwarder_ignores_cold_endpoints]=forward_evacuation/leaves_cold_endpoints_that_take_few_requests
  [forwarder_cold_rate_per_router]=cold_start/keeps_the_limit_at_all_sizes_of_a_fleet
  [forwarder_has_no_load_margin]=endpoint_ranking/leaves_a_margin_for_what_an_old_report_does_not_tell
  [forwarder_never_forgets_speeds]=performance_estimate/forgets_a_reading_within_two_seconds
  [forwarder_ignores_paces]=performance_estimate/sends_calls_where_the_delay_is_low
  [forwarder_takes_unknown_pace_as_fast]=performance_estimate/takes_an_unknown_pace_as_typical
  [admission_ignores_priority]=admission_control/refuses_less_urgent_requests_first
  [admission_shares_by_requests]=admission_control/shares_by_work
  [admission_has_constant_retry_after]=admission_control/names_times_by_the_rate_of_ends
  [admission_refuses_while_slots_are_free]=admission_control/refuses_nothing_while_slots_are_free
  [forwarder_passes_on_reserved_fields]=forward_reserved_fields/of_callers_do_not_reach_endpoints
  [forwarder_compares_revisions_across_eras]=forward_restored_store/takes_the_next_configuration
  [forwarder_watches_across_eras]=forward_restored_store/misses_no_change
  [forwarder_trusts_restored_entries]="endpoint_registry/*restored*"
  [forwarder_forgets_accepted_records]=record_writer/writes_lost_records_again_when_the_service_was_restored
  [forwarder_trusts_restored_evacuations]=forward_evacuation/stays_until_the_operators_have_written_it_again
  [forwarder_trusts_restored_confirmations]=prefix_feed/confirms_nothing_by_a_copy_that_may_lack_changes
  [forwarder_quarantines_prompts_only]=forward_crashing_request/goes_to_few_endpoints
  [forwarder_forgets_crashes_of_silent_endpoints]=forward_crashing_request/goes_to_few_endpoints_that_are_silent
  [forwarder_closes_new_connections]=forward_stop/answers_the_first_request_of_a_new_connection
)
passed=0
failed=0
for mutant in "${!test_of[@]}"; do
  if ! "$tests" --filter "${test_of[$mutant]}" --quiet >/dev/null 2>&1; then
    echo "${test_of[$mutant]} fails without a mutant"
    failed=$((failed + 1))
  elif WAGTAILWIND_MUTANT="$mutant" "$tests" --filter "${test_of[$mutant]}" --quiet >/dev/null 2>&1; then
    echo "${test_of[$mutant]} does not notice $mutant"
    failed=$((failed + 1))
  else
    passed=$((passed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
