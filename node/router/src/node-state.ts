/**
 State of a node.

 - `starting`: has no configuration yet, and has not learned whether one exists.
 - `ready`: accepts requests.
 - `isolated`: reaches neither the key-value service nor any other node; refuses new requests.
 - `draining`: finishes open requests; refuses new ones after the grace period.
 */
export type NodeState = 'starting' | 'ready' | 'isolated' | 'draining';
