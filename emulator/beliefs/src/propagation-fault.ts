import type {PropagationTarget} from './propagation-target.ts';

/**
A fault. Times are in milliseconds after the start.

- `store-quiet`: watches deliver no events; one that ends returns no changes, with the latest revision. At the end the store
  drops its history and interrupts open watches.
- `store-down`: no call succeeds; connections are reset or answers never arrive.
- `store-slow`: each answer has added latency.
- `store-refuses`: no call succeeds for a share of the nodes, or for all followers of the store.
- `node-lost`: a process terminates (`reset`), or its VM is lost (`silence`).
- `node-restarted`: a process terminates, and a new one replaces it later.
- `links-lost`: all open links of a node break or drop all messages; new links work.
- `links-cut`: a network partition between two data centres.
- `state-unanswered`: a node never answers calls for its cluster state, while its links work.
*/
export type PropagationFault =
	| {readonly kind: 'store-quiet'; readonly atMs: number; readonly forMs: number}
	| {readonly kind: 'store-down'; readonly atMs: number; readonly forMs: number; readonly how: 'reset' | 'silence'}
	| {readonly kind: 'store-slow'; readonly atMs: number; readonly forMs: number; readonly addedMs: number}
	| {readonly kind: 'store-refuses'; readonly atMs: number; readonly forMs: number; readonly how: 'reset' | 'silence' | 'status'; readonly share: number | 'followers'}
	| {readonly kind: 'node-lost'; readonly atMs: number; readonly how: 'reset' | 'silence'; readonly target: PropagationTarget}
	| {readonly kind: 'node-restarted'; readonly atMs: number; readonly forMs: number; readonly target: PropagationTarget}
	| {readonly kind: 'links-lost'; readonly atMs: number; readonly how: 'reset' | 'silence'; readonly target: PropagationTarget}
	| {readonly kind: 'links-cut'; readonly atMs: number; readonly forMs: number; readonly between: readonly [string, string]}
	| {readonly kind: 'state-unanswered'; readonly atMs: number; readonly target: PropagationTarget};
