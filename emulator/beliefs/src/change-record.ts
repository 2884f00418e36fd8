import type {PropagationNode} from './propagation-node.ts';
import type {PropagationReport} from './propagation-report.ts';
import type {WrittenChange} from './written-change.ts';

/**
Who believed what, and when.
*/
export type ChangeRecord = {
	/**
	From now on looks at a node whenever its beliefs change.
	*/
	readonly addNode: (node: PropagationNode) => void;
	readonly addChange: (change: WrittenChange) => void;
	readonly summarize: (nodes: readonly PropagationNode[]) => PropagationReport['changes'];
};
