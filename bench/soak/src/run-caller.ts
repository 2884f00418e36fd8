import {setTimeout as wait} from 'node:timers/promises';
import {Client, type Dispatcher} from 'undici';
import type {Attempt} from './attempt.ts';
import type {Departure} from './departure.ts';
import type {SoakNode} from './soak-node.ts';

type CallerOptions = {
	/**
	Number of the caller, for its ids.
	*/
	readonly number: number;
	readonly random: () => number;
	/**
	Draws its way to the node, and the size of answers.
	*/
	readonly habits: () => number;
	/**
	Draws whether it leaves before the end of an answer, and when.
	*/
	readonly departures: () => number;
	readonly now: () => number;
	/**
	Nodes that a balancer would send a new connection to.
	*/
	readonly listReady: () => readonly SoakNode[];
	/**
	Versions of the configuration whose routes are asked for.
	*/
	readonly listVersions: () => readonly number[];
	readonly isOver: () => boolean;
	readonly onAttempt: (attempt: Attempt) => void;
	readonly onDeparture: (departure: Departure) => void;
};

const kinds = ['safe', 'unsafe', 'stream', 'resumable'] as const;
const longestThinkMs = 60;
const patienceMs = 6000;
/**
Part of the requests that ask which configuration is in force.
*/
const versionShare = 0.15;
/**
Part of the connections over a link that can be thin.
*/
const thinShare = 0.3;
/**
Each such caller reads slowly, with a pause after each piece, in milliseconds; it asks for more large answers than others, which take
long to read.
*/
const slowCallers = 3;
const largeShare = 0.04;
const slowLargeShare = 0.25;
/**
Part of the unsafe requests that have a body, and its size in characters.
*/
const bodyShare = 0.4;
const sentBody = 'x'.repeat(300_000);
const slowReadMs = 25;
/**
Part of the requests whose callers leave, and the longest time until they do, in milliseconds.
*/
const departureShare = 0.05;
const longestStayMs = 400;
/**
Characters of an answer that are kept.
*/
const keptLength = 4096;

/**
 Runs a caller until the run is over: it keeps its connection to a node for as long as the node does, one request after the
 other, and tells what became of each.

 @example
 await runCaller({number: 1, random, now, listReady, listVersions, isOver, onAttempt});
 */
export async function runCaller(options: CallerOptions): Promise<void> {
	const {random, habits, now} = options;
	const isSlow = options.number % slowCallers === 0;
	const pieceMs = isSlow ? slowReadMs : 0;
	let count = 0;
	let node: SoakNode | undefined;
	let client: Client | undefined;

	function closeConnection(): void {
		void client?.destroy();
		client = undefined;
		node = undefined;
	}

	function openConnection(): void {
		const ready = options.listReady();
		node = ready[Math.floor(random() * ready.length)];
		const address = habits() < thinShare ? node?.thinLink.address : node?.callers;
		client = node && new Client(`http://${address}`, {connect: {timeout: 1000}, headersTimeout: patienceMs, bodyTimeout: patienceMs});
		client?.on('disconnect', closeConnection);
	}

	function pickPath(): Pick<Attempt, 'kind' | 'path'> {
		const versions = options.listVersions();
		if (random() < versionShare && versions.length > 0) {
			return {kind: 'safe', path: `/v${versions[Math.floor(random() * versions.length)]}/x`};
		}

		const kind = kinds[Math.floor(random() * kinds.length)] ?? 'safe';
		const isLarge = habits() < (isSlow ? slowLargeShare : largeShare) && (kind === 'safe' || kind === 'unsafe');
		return {kind, path: `/${kind}/${isLarge ? 'large' : 'x'}`};
	}

	async function sendOne(target: SoakNode, connection: Client): Promise<void> {
		count++;
		const id = `c${options.number}-${count}`;
		const {kind, path} = pickPath();
		const hasBody = kind === 'unsafe' && habits() < bodyShare;
		const sent = {
			id, path, kind, node: target.name, pid: target.pid(), sentAt: now(),
		};
		let status = 0;
		let isWhole = false;
		let body = '';
		let error = '';
		let announced = -1;
		let leftAt: number | undefined;
		const stayMs = options.departures() < departureShare ? options.departures() * longestStayMs : Infinity;
		const timer = stayMs === Infinity
			? undefined
			: setTimeout(() => {
				leftAt = now();
				closeConnection();
			}, stayMs);
		try {
			const response = await connection.request({
				method: hasBody ? 'POST' : 'GET', path, body: hasBody ? sentBody : null, headers: {
					host: 'permits.example', authorization: 'Bearer key', 'x-attempt-id': id, 'x-deadline-ms': String(patienceMs),
				},
			});
			status = response.statusCode;
			announced = Number(response.headers['content-length'] ?? -1);
			await readBody(response.body, pieceMs, text => {
				body += text;
			});
			isWhole = true;
		} catch (error_) {
			error = String(error_);
			// A client that reads slowly may see the end of the connection before it reports the end of an answer that it has.
			isWhole = body.length === announced;
			// What is missing shows in the attempt; the connection is of no more use.
			closeConnection();
		}

		clearTimeout(timer);
		if (leftAt !== undefined) {
			options.onDeparture({...sent, at: leftAt});
			return;
		}

		options.onAttempt({
			...sent, endedAt: now(), status, isWhole, body: body.slice(0, keptLength), length: body.length, error,
		});
	}

	while (!options.isOver()) {
		if (client === undefined) {
			openConnection();
		}

		if (client !== undefined && node !== undefined) {
			// eslint-disable-next-line no-await-in-loop -- one request after the other
			await sendOne(node, client);
		}

		// eslint-disable-next-line no-await-in-loop -- the caller's pause
		await wait(random() * longestThinkMs);
	}

	closeConnection();
}

async function readBody(stream: Dispatcher.ResponseData['body'], pieceMs: number, onText: (text: string) => void): Promise<void> {
	for await (const chunk of stream) {
		onText(String(chunk));
		if (pieceMs > 0) {
			await wait(pieceMs);
		}
	}
}
