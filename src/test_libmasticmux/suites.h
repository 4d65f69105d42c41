/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_account_keys[];
extern CU_TestInfo mmx_tests_address[];
extern CU_TestInfo mmx_tests_announce[];
extern CU_TestInfo mmx_tests_attempts[];
extern CU_TestInfo mmx_tests_balance[];
extern CU_TestInfo mmx_tests_change[];
extern CU_TestInfo mmx_tests_change_json[];
extern CU_TestInfo mmx_tests_claims[];
extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_config[];
extern CU_TestInfo mmx_tests_config_task[];
extern CU_TestInfo mmx_tests_config_wire[];
extern CU_TestInfo mmx_tests_cost[];
extern CU_TestInfo mmx_tests_counters[];
extern CU_TestInfo mmx_tests_detection[];
extern CU_TestInfo mmx_tests_header_names[];
extern CU_TestInfo mmx_tests_directory[];
extern CU_TestInfo mmx_tests_ejection[];
extern CU_TestInfo mmx_tests_entry[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_exit[];
extern CU_TestInfo mmx_tests_exit_announced[];
extern CU_TestInfo mmx_tests_exit_queue[];
extern CU_TestInfo mmx_tests_exit_replies[];
extern CU_TestInfo mmx_tests_exit_target[];
extern CU_TestInfo mmx_tests_exporter[];
extern CU_TestInfo mmx_tests_fair_queue[];
extern CU_TestInfo mmx_tests_fault[];
extern CU_TestInfo mmx_tests_filter[];
extern CU_TestInfo mmx_tests_filter_attempt_claim[];
extern CU_TestInfo mmx_tests_filter_attempt_overdue[];
extern CU_TestInfo mmx_tests_filter_attempt_send[];
extern CU_TestInfo mmx_tests_filter_identity[];
extern CU_TestInfo mmx_tests_filter_quota[];
extern CU_TestInfo mmx_tests_config_state[];
extern CU_TestInfo mmx_tests_gossip[];
extern CU_TestInfo mmx_tests_gossip_codec[];
extern CU_TestInfo mmx_tests_history[];
extern CU_TestInfo mmx_tests_hostile[];
extern CU_TestInfo mmx_tests_http_ahead[];
extern CU_TestInfo mmx_tests_http_client[];
extern CU_TestInfo mmx_tests_http_entry[];
extern CU_TestInfo mmx_tests_http_entry_connection[];
extern CU_TestInfo mmx_tests_http_guard[];
extern CU_TestInfo mmx_tests_http_reader[];
extern CU_TestInfo mmx_tests_latency[];
extern CU_TestInfo mmx_tests_limits[];
extern CU_TestInfo mmx_tests_log[];
extern CU_TestInfo mmx_tests_log_client[];
extern CU_TestInfo mmx_tests_membership[];
extern CU_TestInfo mmx_tests_mutation[];
extern CU_TestInfo mmx_tests_operator[];
extern CU_TestInfo mmx_tests_overdue[];
extern CU_TestInfo mmx_tests_part_quota[];
extern CU_TestInfo mmx_tests_peer[];
extern CU_TestInfo mmx_tests_peer_faults[];
extern CU_TestInfo mmx_tests_platform[];
extern CU_TestInfo mmx_tests_policy[];
extern CU_TestInfo mmx_tests_publish[];
extern CU_TestInfo mmx_tests_quota[];
extern CU_TestInfo mmx_tests_quota_random[];
extern CU_TestInfo mmx_tests_quota_units[];
extern CU_TestInfo mmx_tests_rate_limit[];
extern CU_TestInfo mmx_tests_retry[];
extern CU_TestInfo mmx_tests_retry_window[];
extern CU_TestInfo mmx_tests_roster[];
extern CU_TestInfo mmx_tests_routing[];
extern CU_TestInfo mmx_tests_rpc[];
extern CU_TestInfo mmx_tests_schema[];
extern CU_TestInfo mmx_tests_session[];
extern CU_TestInfo mmx_tests_settings[];
extern CU_TestInfo mmx_tests_snapshot[];
extern CU_TestInfo mmx_tests_stop[];
extern CU_TestInfo mmx_tests_store_blocks[];
extern CU_TestInfo mmx_tests_store_relay[];
extern CU_TestInfo mmx_tests_target_client[];
extern CU_TestInfo mmx_tests_target_cut[];
extern CU_TestInfo mmx_tests_target_delay[];
extern CU_TestInfo mmx_tests_target_endless[];
extern CU_TestInfo mmx_tests_target_probe[];
extern CU_TestInfo mmx_tests_target_reuse[];
extern CU_TestInfo mmx_tests_task[];
extern CU_TestInfo mmx_tests_trace[];
extern CU_TestInfo mmx_tests_view[];
extern CU_TestInfo mmx_tests_wire[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
