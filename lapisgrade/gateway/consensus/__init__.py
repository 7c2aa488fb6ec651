"""Raft consensus for the control plane.

A node does no I/O. It receives messages, completed writes and the time, and returns what to send, write and
apply. `node.Node` is the entry point; each of its concerns is an object in a separate module.

Sources, cited as "thesis, section":

- D. Ongaro, "Consensus: Bridging Theory and Practice", Stanford, 2014: leader election (3.4), log replication
  (3.5), leadership transfer (3.10), changes of one server at a time (4.1), snapshots (5.1), check-quorum
  (6.2), leases for reads (6.4.1), pre-vote (9.6).
- D. Ongaro, "bug in single-server membership changes", raft-dev, 2015: a leader changes the voters only after
  an entry of its own term is committed (cited as "note of 2015").
"""
