import type {AttemptFailure} from './attempt-failure.ts';
import type {FailureCause} from './failure-cause.ts';
import type {Interruption} from './interruption.ts';

/**
Causes that are the endpoint's own doing. All others are decisions of the node.
*/
const endpointCauses: ReadonlySet<FailureCause> = new Set(['connection', 'refused', 'failed', 'untrusted', 'truncated', 'restarted']);

/**
 Tells who ended an answer whose last attempt failed.

 @example
 toInterruption({cause: 'stalled', reason: 'silent to all nodes', mayHaveRun: true}).endedBy; // 'node'
 */
export function toInterruption({cause, reason}: AttemptFailure): Interruption {
	return {endedBy: endpointCauses.has(cause) ? 'endpoint' : 'node', cause, reason};
}
