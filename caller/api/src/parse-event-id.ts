/**
Where a caller that lost its connection goes on.
*/
type EventPosition = {
	readonly requestId: string;
	readonly offset: number;
};

const eventIdPattern = /^(?<requestId>[\w\-.]+):(?<offset>\d{1,9})$/v;

/**
 Reads a `Last-Event-ID` header.

 @example
 parseEventId('a1_9:42'); // {requestId: 'a1_9', offset: 42}
 */
export function parseEventId(text: string): EventPosition | undefined {
	const groups = eventIdPattern.exec(text)?.groups;
	return groups?.requestId === undefined ? undefined : {requestId: groups.requestId, offset: Number(groups.offset)};
}
