import type {ChangeRecord} from './change-record.ts';
import type {SpreadingNode} from './spreading-node.ts';
import type {WrittenChange} from './written-change.ts';

type ChangeRecordOptions = {
	readonly nodes: readonly SpreadingNode[];
	/**
	Milliseconds since the start.
	*/
	readonly now: () => number;
};

/**
 Creates the record of who believed what, and when.

 @example
 const record = createChangeRecord({nodes, now});
 record.add(change);
 record.summarize(nodes)[0].lastAtMs; // 10_240
 */
export function createChangeRecord({nodes, now}: ChangeRecordOptions): ChangeRecord {
	const written = new Map<WrittenChange, Map<string, number>>();

	function checkNode({self, view}: SpreadingNode): void {
		for (const [change, believedAtMs] of written) {
			if (!believedAtMs.has(self.id) && change.isBelieved(view)) {
				believedAtMs.set(self.id, now());
			}
		}
	}

	for (const node of nodes) {
		node.view.events.on(['configuration', 'endpoint', 'endpointRemoved'], () => {
			checkNode(node);
		});
	}

	return {
		add(change) {
			written.set(change, new Map());
			for (const node of nodes) {
				checkNode(node);
			}
		},
		summarize: living => [...written].map(([{kind, subject, writtenAtMs}, believedAtMs]) => ({
			kind,
			subject,
			writtenAtMs,
			believedAtMs,
			lastAtMs: Math.max(writtenAtMs, ...living.map(({self}) => believedAtMs.get(self.id) ?? 0)),
			missing: living.map(({self}) => self.id).filter(id => !believedAtMs.has(id)),
		})),
	};
}
