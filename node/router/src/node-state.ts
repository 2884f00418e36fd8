/**
 State of a node.

 - `starting`: has no configuration yet and does not know whether there is one.
 - `ready`: takes requests.
 - `isolated`: reaches neither the key-value service nor any other node; refuses new requests.
 - `draining`: finishes what is open; refuses new requests after the grace time.
 */
export type NodeState = 'starting' | 'ready' | 'isolated' | 'draining';
