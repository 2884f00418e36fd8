import type {PropagationNode} from './propagation-node.ts';
import type {PropagationReport} from './propagation-report.ts';
import type {WrittenChange} from './written-change.ts';

/**
Records when each node applied each change.
*/
export type ChangeRecord = {
	/**
	Checks a node whenever its cluster view changes from now on.
	*/
	readonly addNode: (node: PropagationNode) => void;
	readonly addChange: (change: WrittenChange) => void;
	readonly summarize: (nodes: readonly PropagationNode[]) => PropagationReport['changes'];
};
