import type {PropagationTarget} from './propagation-target.ts';

/**
What goes wrong, in milliseconds after the start:

- `store-quiet`: watches hear nothing; one whose wait ends comes back empty with the newest revision. At the end the store
  drops its history and cuts the watches that wait.
- `store-down`: no call is served, connections are reset or answers never come.
- `store-slow`: each answer comes later.
- `store-refuses`: the same, but for a share of the nodes only, or for all that follow it for the others.
- `node-lost`: a process that ends (`reset`), or a machine that is no more (`silence`).
- `node-restarted`: a process that ends, and a new one in its place after a while.
- `links-lost`: all open links of a node break or fall silent; new ones work.
- `links-cut`: nothing passes between two data centres meanwhile.
- `state-unanswered`: a node answers no call for its whole state, while its links live.
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
