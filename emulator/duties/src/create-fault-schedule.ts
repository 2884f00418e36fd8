import type {DutyFault} from './duty-fault.ts';
import type {FaultSchedule} from './fault-schedule.ts';

const nodeFaults: ReadonlySet<DutyFault['kind']> = new Set(['freeze', 'kill', 'store-refuses']);

/**
 Creates the fault schedule of a run.

 @example
 const faults = createFaultSchedule([{kind: 'store-down', node: 0, at: 100, until: 900}], () => 500);
 faults.isActive('store-down'); // true
 */
export function createFaultSchedule(faults: readonly DutyFault[], now: () => number): FaultSchedule {
	const listActive = (kind: DutyFault['kind'], node: number | undefined): readonly DutyFault[] => faults.filter(fault => fault.kind === kind && fault.at <= now() && now() < fault.until && (node === undefined || fault.node === node));

	return {
		isActive: (kind, node) => listActive(kind, node).length > 0,
		findEnd: (kind, node) => Math.max(now(), ...listActive(kind, node).map(({until}) => until)),
		wasAffected: (node, withinMs, at) => faults.some(fault => fault.at <= at && fault.until >= at - withinMs && (!nodeFaults.has(fault.kind) || fault.node === node)),
	};
}
