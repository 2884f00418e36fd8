import type {LeavingPolicy} from './leaving-policy.ts';
import type {Suspicion} from './suspicion.ts';

/**
Time in which a chunk for another request shows that an endpoint runs, in milliseconds.
*/
const othersMs = 400;
const longStallMs = 1500;

const rules: Readonly<Record<LeavingPolicy, (suspicion: Suspicion) => boolean>> = {
	secured: () => true,
	overdue: ({isStalled, silentMs, overdueMs}) => !isStalled || silentMs > overdueMs,
	silent: ({othersSilentMs}) => othersSilentMs > othersMs,
	stalled: ({isStalled}) => isStalled,
	dark: ({isStalled, silentMs, overdueMs}) => isStalled && silentMs > overdueMs,
	patient: ({isStalled, silentMs}) => isStalled && silentMs > longStallMs,
	shorter: ({isStalled, hasStarted, hereMs, nextMs}) => isStalled || hasStarted || nextMs < hereMs,
	never: () => false,
};

/**
 Whether a suspected attempt may be ended.

 @example
 canLeaveAttempt('never', suspicion); // false
 */
export function canLeaveAttempt(policy: LeavingPolicy, suspicion: Suspicion): boolean {
	return rules[policy](suspicion);
}
