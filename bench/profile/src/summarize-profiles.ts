import {readFile} from 'node:fs/promises';

type CallFrame = {readonly functionName: string; readonly url: string; readonly lineNumber: number};

type Profile = {
	readonly nodes: ReadonlyArray<{readonly id: number; readonly callFrame: CallFrame}>;
	readonly samples: readonly number[];
	readonly timeDeltas: readonly number[];
};

type SumOptions = {
	readonly files: readonly string[];
	/**
	Bundle that was run.
	*/
	readonly program: string;
	/**
	Time at the beginning of each profile that is left out, in milliseconds.
	*/
	readonly skippedMs: number;
};

/**
What is not the program's own code, as the profiler names it.
*/
const idleNames: ReadonlySet<string> = new Set(['(idle)']);
const usPerMs = 1000;

/**
 Sums the own time of functions over profiles, in milliseconds, by the package that they stand in. The program is a bundle in
 which each source file begins with its path as a comment.

 @example
 const {byPackage} = await summarizeProfiles({files: ['n0.cpuprofile'], program: 'valvesaddle.cjs', skippedMs: 4000});
 */
export async function summarizeProfiles({files, program, skippedMs}: SumOptions): Promise<{readonly byPackage: ReadonlyMap<string, number>; readonly byFunction: ReadonlyMap<string, number>}> {
	const places = listPlaces(await readFile(program, 'utf8'));
	const byPackage = new Map<string, number>();
	const byFunction = new Map<string, number>();
	for (const file of files) {
		// eslint-disable-next-line no-await-in-loop -- profiles are large
		const profile = JSON.parse(await readFile(file, 'utf8')) as Profile;
		for (const {frame, milliseconds} of listWork(profile, skippedMs)) {
			const place = findPlace(frame, places);
			add(byPackage, place, milliseconds);
			add(byFunction, `${place} ${frame.functionName}`, milliseconds);
		}
	}

	return {byPackage, byFunction};
}

/**
The samples of a profile in which it worked.
*/
function listWork({nodes, samples, timeDeltas}: Profile, skippedMs: number): ReadonlyArray<{readonly frame: CallFrame; readonly milliseconds: number}> {
	const frames = new Map(nodes.map(({id, callFrame}) => [id, callFrame]));
	let elapsedMs = 0;
	return samples.flatMap((id, index) => {
		const frame = frames.get(id);
		const milliseconds = (timeDeltas[index] ?? 0) / usPerMs;
		elapsedMs += milliseconds;
		return frame === undefined || elapsedMs < skippedMs || idleNames.has(frame.functionName) ? [] : [{frame, milliseconds}];
	});
}

function add(sums: Map<string, number>, key: string, by: number): void {
	sums.set(key, (sums.get(key) ?? 0) + by);
}

/**
The package of each line of the bundle.
*/
function listPlaces(text: string): readonly string[] {
	let place = 'bundle';
	return text.split('\n').map(line => {
		const file = /^\s*\/\/ (?<file>\S+\.(?:ts|js|mjs|cjs))$/v.exec(line)?.groups?.file;
		if (file !== undefined) {
			place = toPackage(file);
		}

		return place;
	});
}

function toPackage(file: string): string {
	const library = /node_modules\/(?<name>(?:@[^\/]+\/)?[^\/]+)(?:\/(?!.*node_modules\/)|$)/v.exec(file)?.groups?.name;
	return library === undefined ? file.split('/').filter(part => part !== '..').slice(0, 2).join('/') : `library ${library}`;
}

function findPlace({functionName, url, lineNumber}: CallFrame, places: readonly string[]): string {
	if (url.endsWith('.cjs')) {
		return places[lineNumber] ?? 'bundle';
	}

	return url.startsWith('node:') ? `runtime ${url.split('/', 1)[0]}` : functionName;
}
