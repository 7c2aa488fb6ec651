"""Control: one elected leader orders all changes in a log that a majority of the voters has on disk.

Where to look, from the outside in:

* `server` assembles one controller, starts it and shuts it down.
* `control_api`, `call_forwarding`, `leader_calls`: calls of servers and operators, and where they run.
* `drafts`: edits while no leader can be reached.
* `watch_service`, `watch`, `version_activation`: what proxies are sent, and when a version comes into force;
  `configuration_feed` and `proxy_list_feed` encode it as deltas.
* `consensus_driver`, `log_writer`, `node_recovery`, `leader_discovery`: the node of `gateway.consensus`, its
  disk and its peers.
* `commands`, `state`, `state_machine`, `change_validation`, `draft_merging`: what the log means. Pure.
"""
