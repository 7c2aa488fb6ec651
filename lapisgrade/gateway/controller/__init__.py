"""The control plane: one elected leader orders all changes in a log on the disks of a majority of voters.

Modules, from the outside in:

* `server` assembles one controller, starts it and shuts it down.
* `control_api`, `call_forwarding`, `leader_calls`: receive calls of servers and operators, forward them to
  the leader, and execute them there.
* `drafts`: stores edits that are made while no leader is reachable.
* `operation_claims`: records which attempt holds the key of a keyed operation.
* `watch_service`, `watch`, `version_activation`: send updates to proxies, and decide when a version becomes
  active; `configuration_feed` and `proxy_list_feed` encode updates as deltas.
* `consensus_driver`, `log_writer`, `node_recovery`, `leader_discovery`: run the node of `gateway.consensus`
  with its disk and its peers.
* `commands`, `state`, `state_machine`, `change_validation`, `draft_merging`: the state machine. Pure.
* `replies`, `status_report`, `refused_changes`, `metrics`: replies to operators, the cluster's status
  with the last refused change, and the counters of this process.
"""
