import type {SpreadingNode} from './spreading-node.ts';
import type {SpreadingReport} from './spreading-report.ts';
import type {WrittenChange} from './written-change.ts';

/**
Who believed what, and when.
*/
export type ChangeRecord = {
	/**
	From now on looks at a node whenever its beliefs change.
	*/
	readonly addNode: (node: SpreadingNode) => void;
	readonly addChange: (change: WrittenChange) => void;
	readonly summarize: (nodes: readonly SpreadingNode[]) => SpreadingReport['changes'];
};
