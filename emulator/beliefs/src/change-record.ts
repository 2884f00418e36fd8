import type {SpreadingNode} from './spreading-node.ts';
import type {SpreadingReport} from './spreading-report.ts';
import type {WrittenChange} from './written-change.ts';

/**
Who believed what, and when.
*/
export type ChangeRecord = {
	/**
	Looks at all nodes now, and at each of them whenever its beliefs change.
	*/
	readonly add: (change: WrittenChange) => void;
	readonly summarize: (nodes: readonly SpreadingNode[]) => SpreadingReport['changes'];
};
