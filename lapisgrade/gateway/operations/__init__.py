"""Requests of mode `keyed`: all attempts with the same operation key are one operation, which runs once.

A proxy claims an operation's key before it sends the request to a server. The claim is an entry of the
controllers' replicated log (`table`), so it is on disk at a majority of the controllers before the request
runs, and at most one attempt holds a key at any time. The proxy that holds the claim stores the outcome of
its attempt in memory (`outcomes`); a proxy that receives a repeated request asks it for the outcome.

Sources: Lee et al., "Implementing Linearizability at Large Scale and Low Latency" (RIFL), SOSP 2015; IETF
draft "The Idempotency-Key HTTP Header Field".
"""
