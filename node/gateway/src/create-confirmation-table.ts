import type {Confirmation} from './confirmation.ts';
import type {ConfirmationTable} from './confirmation-table.ts';

/**
Nodes whose last word is kept; a fleet has four that are in touch for all.
*/
const mostNodes = 64;
/**
Age that stands for a word that never was, in milliseconds.
*/
const neverMs = 1e9;

type Word = {
	readonly number: number;
	/**
	When it was given, as far as this node can tell, on its steady clock in milliseconds.
	*/
	readonly at: number;
};

/**
 Creates the book of confirmations. A word counts from when it was first heard, not from each time that a peer passes it on:
 what it spends on its way is not known, so nodes that told each other of it again and again would keep it young.

 @example
 const confirmations = createConfirmationBook({node: 'n1'});
 confirmations.record({by: 'r1', number: 7}, 20);
 confirmations.measureAge(); // 20
 */
export function createConfirmationTable({node}: {readonly node: string}): ConfirmationTable {
	const words = new Map<string, Word>();
	let last: Confirmation | undefined;
	let lastAt = -Infinity;
	let own = 0;

	function addWord(confirmation: Confirmation, at: number): void {
		const {by, number} = confirmation;
		if (number <= (words.get(by)?.number ?? -1)) {
			return;
		}

		words.delete(by);
		words.set(by, {number, at});
		if (words.size > mostNodes) {
			words.delete(words.keys().next().value ?? '');
		}

		if (at <= lastAt) {
			return;
		}

		last = confirmation;
		lastAt = at;
	}

	return {
		confirm() {
			own++;
			addWord({by: node, number: own}, performance.now());
		},
		record(confirmation, ageMs) {
			addWord(confirmation, performance.now() - ageMs);
		},
		measureAge: () => Math.min(neverMs, Math.round(performance.now() - lastAt)),
		latest: () => last,
	};
}
