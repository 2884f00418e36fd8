/**
Position in an answer at which a reconnecting caller resumes.
*/
type EventPosition = {
	readonly requestId: string;
	readonly offset: number;
};

const eventIdPattern = /^(?<requestId>[\w\-.]+):(?<offset>\d{1,9})$/v;

/**
 Parses a `Last-Event-ID` header; `undefined` when it is malformed.

 @example
 parseEventId('a1_9:42'); // {requestId: 'a1_9', offset: 42}
 */
export function parseEventId(text: string): EventPosition | undefined {
	const groups = eventIdPattern.exec(text)?.groups;
	return groups?.requestId === undefined ? undefined : {requestId: groups.requestId, offset: Number(groups.offset)};
}
