/**
 Log lines of a request from several logs, in order of time. Text before the JSON object of a line, such as the prefix of a log
 collector, is removed; lines without one are skipped.

 @example
 listRequestLines('9c41', ['{"time":1,"request":"9c41","msg":"request-admitted"}\n']);
 */
export function listRequestLines(request: string, logs: readonly string[]): readonly string[] {
	const found: Array<{readonly time: number; readonly line: string}> = [];
	for (const text of logs.flatMap(log => log.split('\n'))) {
		const line = text.slice(Math.max(0, text.indexOf('{')));
		const fields = text.includes(request) ? parseLine(line) : undefined;
		if (fields?.request === request) {
			found.push({time: fields.time ?? 0, line});
		}
	}

	return found.toSorted((a, b) => a.time - b.time).map(({line}) => line);
}

type Fields = {
	readonly request?: string;
	readonly time?: number;
};

function parseLine(line: string): Fields | undefined {
	try {
		return JSON.parse(line) as Fields;
	} catch {
		return undefined;
	}
}
