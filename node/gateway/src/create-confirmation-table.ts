import type {Confirmation} from './confirmation.ts';
import type {ConfirmationTable} from './confirmation-table.ts';

/**
Nodes whose last confirmation is kept; a fleet has only a few followers of the store.
*/
const maximumNodes = 64;
/**
Age while there is no confirmation, in milliseconds.
*/
const unconfirmedAgeMs = 1e9;

type Entry = {
	readonly number: number;
	/**
	Estimated time of the confirmation, on this node's monotonic clock in milliseconds.
	*/
	readonly at: number;
};

/**
 Creates the confirmation table. The age of a confirmation counts from its first receipt: its time in transit is unknown, so
 nodes that forward it to each other repeatedly would otherwise keep it from aging.

 @example
 const confirmations = createConfirmationTable({node: 'n1'});
 confirmations.record({by: 'r1', number: 7}, 20);
 confirmations.measureAge(); // 20
 */
export function createConfirmationTable({node}: {readonly node: string}): ConfirmationTable {
	const entries = new Map<string, Entry>();
	let latest: Confirmation | undefined;
	let latestAt = -Infinity;
	let ownNumber = 0;

	function addEntry(confirmation: Confirmation, at: number): void {
		const {by, number} = confirmation;
		if (number <= (entries.get(by)?.number ?? -1)) {
			return;
		}

		entries.delete(by);
		entries.set(by, {number, at});
		if (entries.size > maximumNodes) {
			entries.delete(entries.keys().next().value ?? '');
		}

		if (at <= latestAt) {
			return;
		}

		latest = confirmation;
		latestAt = at;
	}

	return {
		confirm() {
			ownNumber++;
			addEntry({by: node, number: ownNumber}, performance.now());
		},
		record(confirmation, ageMs) {
			addEntry(confirmation, performance.now() - ageMs);
		},
		measureAge: () => Math.min(unconfirmedAgeMs, Math.round(performance.now() - latestAt)),
		latest: () => latest,
	};
}
