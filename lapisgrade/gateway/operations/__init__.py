"""Requests of mode `keyed`: every attempt that bears one operation key is one operation, which runs once.

A proxy claims an operation's key before it sends the request to a server. The claim is an entry of the
controllers' replicated log (`table`), so it is on a majority of the disks before the request runs, and at
most one attempt holds a key at any time. What came of an attempt is kept in the memory of the proxy that
holds the claim (`outcomes`); every other proxy that is sent a repeat asks that one.

Sources: Lee et al., "Implementing Linearizability at Large Scale and Low Latency" (RIFL), SOSP 2015; IETF
draft "The Idempotency-Key HTTP Header Field".
"""
