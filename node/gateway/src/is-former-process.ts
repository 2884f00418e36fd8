/**
 Whether a node's id is that of a former process of a node that has started again: another id with its name is known, but not its own.

 @param node - Id of a node: its name, a dot, and the process.
 @param known - Ids of the known nodes.
 @example
 isFormerProcess('n1.aa', ['n1.bb', 'n2.cc']); // true
 */
export function isFormerProcess(node: string, known: readonly string[]): boolean {
	const prefix = node.slice(0, node.lastIndexOf('.') + 1);
	return prefix !== '' && !known.includes(node) && known.some(id => id.startsWith(prefix));
}
