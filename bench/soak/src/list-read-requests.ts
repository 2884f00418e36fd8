import {readFile} from 'node:fs/promises';
import path from 'node:path';

/**
Lines that a node writes once it has read a request whole, or refuses it.
*/
const linePattern = /"request":"(?<id>[^"]+)".*"msg":"request-(?:admitted|refused)"/gv;

/**
 Lists the ids of the requests that nodes have read whole or refused, from their logs.

 @example
 await listReadRequests(folder, ['n0', 'n1']);
 */
export async function listReadRequests(folder: string, nodes: readonly string[]): Promise<ReadonlySet<string>> {
	const logs = await Promise.all(nodes.map(async name => readFile(path.join(folder, `${name}.log`), 'utf8')));
	return new Set(logs.flatMap(log => log.matchAll(linePattern).map(({groups}) => groups?.id ?? '').toArray()));
}
