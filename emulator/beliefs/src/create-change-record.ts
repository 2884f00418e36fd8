import type {ChangeRecord} from './change-record.ts';
import type {PropagationNode} from './propagation-node.ts';
import type {WrittenChange} from './written-change.ts';

type ChangeRecordOptions = {
	/**
	Milliseconds since the start.
	*/
	readonly now: () => number;
};

/**
 Creates the record of when each node applied each change.

 @example
 const record = createChangeRecord({now});
 record.addNode(node);
 record.addChange(change);
 record.summarize(nodes)[0].lastAtMs; // 10_240
 */
export function createChangeRecord({now}: ChangeRecordOptions): ChangeRecord {
	const startedAtMs = new Map<PropagationNode, number>();
	const written = new Map<WrittenChange, Map<string, number>>();

	function checkNode({self, view}: PropagationNode): void {
		for (const [change, appliedAtMs] of written) {
			if (!appliedAtMs.has(self.id) && change.isApplied(view)) {
				appliedAtMs.set(self.id, now());
			}
		}
	}

	return {
		addNode(node) {
			startedAtMs.set(node, now());
			node.view.events.on(['configuration', 'endpoint', 'endpointRemoved'], () => {
				checkNode(node);
			});
		},
		addChange(change) {
			written.set(change, new Map());
			for (const node of startedAtMs.keys()) {
				checkNode(node);
			}
		},
		summarize: liveNodes => [...written].map(([{kind, subject, writtenAtMs}, appliedAtMs]) => ({
			kind,
			subject,
			writtenAtMs,
			appliedAtMs,
			lastAtMs: Math.max(writtenAtMs, ...liveNodes.filter(node => startedAtMs.get(node)! <= writtenAtMs).map(({self}) => appliedAtMs.get(self.id) ?? 0)),
			missing: liveNodes.map(({self}) => self.id).filter(id => !appliedAtMs.has(id)),
		})),
	};
}
