import {
	err,
	ok,
	ResultAsync,
	type Result,
} from 'neverthrow';
import {toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';
import type {
	AcquireReply,
	AcquireRequest,
	DispatchPort,
	Grant,
	ProgressReport,
} from '@valvesaddle/messages';
import type {AcquireParameters} from './acquire-parameters.ts';
import type {DispatchClient} from './dispatch-client.ts';
import type {DispatchClientOptions} from './dispatch-client-options.ts';
import type {HeldGrant} from './held-grant.ts';
import {createRemotePort} from './create-remote-port.ts';

/**
Refusals after which another dispatcher of the same pool is asked, if it has one.
*/
const retriedRefusals: ReadonlySet<string> = new Set(['ERR_VALVESADDLE_OVERLOADED', 'ERR_VALVESADDLE_NO_ENDPOINT']);
/**
After so many redirects the asked node has to dispatch, whatever it takes for the owner.
*/
const mostRedirects = 3;
/**
A request that waited so long at a dispatcher had been taken into its queue.
*/
const surelyQueuedMs = 100;
/**
Grants named in one round of progress; bounds the bytes of a node with many streams.
*/
const mostReports = 40;

type SettledReply = Exclude<AcquireReply, {readonly kind: 'moved'}>;

/**
 Creates the client of a node. It finds the dispatcher of each pool; when that one is lost or the duty moves, it
 registers its open grants with the next one and asks there again, with the time waited so far.

 @example
 const grant = await client.acquire(ask, signal);
 */
export function createDispatchClient(options: DispatchClientOptions): DispatchClient {
	const {node, host, network, membership, metrics} = options;
	const held = new Map<string, HeldGrant>();
	const owners = new Map<string, string>();
	const ports = new Map<string, DispatchPort>();

	function getPort(owner: string): DispatchPort {
		if (owner === node) {
			return host;
		}

		const port = ports.get(owner) ?? createRemotePort(network, owner);
		ports.set(owner, port);
		return port;
	}

	/**
	Duty of a grant, by its endpoint: it may change with the configuration while the grant is open.
	*/
	function findDuty({pool, open}: HeldGrant): string {
		return host.duties().findDuty(pool, open.endpointId);
	}

	function listHeld(duty: string): readonly HeldGrant[] {
		return held.values().filter(grant => findDuty(grant) === duty).toArray();
	}

	function applyOwner(duty: string, owner: string): void {
		const before = owners.get(duty);
		if (before === owner) {
			return;
		}

		owners.set(duty, owner);
		const open = listHeld(duty).map(grant => ({...grant.open, tokens: grant.tokens}));
		if (open.length > 0) {
			getPort(owner).register({duty, node, grants: open});
		}

		if (before === undefined) {
			return;
		}

		metrics.increment('dispatch.owner-changes');
		options.logger.info({
			name: 'dispatcher-moved', duty, from: before, to: owner,
		});
	}

	async function ask(owner: string, request: AcquireRequest): Promise<AcquireReply | undefined> {
		try {
			applyOwner(request.duty, owner);
			return await getPort(owner).acquire(request);
		} catch (error) {
			const failure = toValvesaddleError(error);
			if (owner === node && failure.code !== 'ERR_VALVESADDLE_PEER_UNREACHABLE') {
				throw failure;
			}

			membership.suspect(owner);
			return undefined;
		}
	}

	/**
	Asks the dispatcher of a duty, wherever it is, until it grants or refuses.
	*/
	async function askDuty(duty: string, asked: AcquireParameters, signal: AbortSignal): Promise<SettledReply> {
		const {arrivedAt, resumes, pool: _pool, ...rest} = asked;
		const skipped: string[] = [];
		let redirects = 0;
		let target: string | undefined;
		let isAdmitted = resumes;
		for (;;) {
			if (signal.aborted) {
				throw new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the caller went away while the request waited');
			}

			const owner = target ?? host.findOwner(duty, skipped) ?? node;
			const askedAt = Date.now();
			// eslint-disable-next-line no-await-in-loop -- each owner is asked after the one before failed
			const reply = await askCancellably(owner, signal, {
				...rest,
				duty,
				node,
				dataCentre: options.dataCentre,
				waitedMs: Date.now() - arrivedAt,
				admitted: isAdmitted,
				skipped,
				forced: redirects >= mostRedirects,
			});
			target = undefined;
			if (reply === undefined) {
				skipped.push(owner);
				isAdmitted ||= Date.now() - askedAt >= surelyQueuedMs;
			} else if (reply.kind === 'moved') {
				redirects++;
				target = reply.owner;
				isAdmitted ||= reply.admitted;
			} else {
				return reply;
			}
		}
	}

	async function acquire(asked: AcquireParameters, signal: AbortSignal): Promise<Result<Grant, ValvesaddleError>> {
		const duties = host.duties();
		const duty = duties.chooseDuty(asked.pool, asked.session ?? asked.requestId);
		const reply = await askDuty(duty, asked, signal);
		const other = reply.kind === 'refused' && retriedRefusals.has(reply.code) ? duties.chooseOther(asked.pool, duty) : undefined;
		return settle(other === undefined ? reply : await askDuty(other, asked, signal), asked);
	}

	async function askCancellably(owner: string, signal: AbortSignal, request: AcquireRequest): Promise<AcquireReply | undefined> {
		const cancel = (): void => {
			getPort(owner).cancel({duty: request.duty, requestId: request.requestId});
		};

		signal.addEventListener('abort', cancel, {once: true});
		try {
			return await ask(owner, request);
		} finally {
			signal.removeEventListener('abort', cancel);
		}
	}

	function settle(reply: SettledReply, asked: AcquireParameters): Result<Grant, ValvesaddleError> {
		if (reply.kind === 'refused') {
			return err(new ValvesaddleError(reply.code, reply.message, {retryAfterMs: reply.retryAfterMs}));
		}

		const {grantId, endpointId} = reply.grant;
		held.set(grantId, {
			open: {
				grantId, requestId: asked.requestId, endpointId, account: asked.account, className: asked.className, tokens: 0,
			},
			pool: asked.pool,
			tokens: 0,
			firstTokenMs: undefined,
			isFirstTokenReported: false,
		});
		return ok(reply.grant);
	}

	/**
	Renews all grants; names only so many of them in one round, those that were not named for longest.
	*/
	function sendProgress(): void {
		const due = held.values().take(mostReports).toArray();
		const duties = new Set(held.values().map(grant => findDuty(grant)));
		for (const duty of duties) {
			const owner = host.findOwner(duty, []) ?? node;
			applyOwner(duty, owner);
			const reports = due.filter(grant => findDuty(grant) === duty).map(grant => toReport(grant));
			getPort(owner).progress({duty, node, reports});
		}
	}

	/**
	What is new of a grant; the time of its first token is told once.
	*/
	function toReport(grant: HeldGrant): ProgressReport {
		const {open: {grantId}, tokens, firstTokenMs, isFirstTokenReported: isReported} = grant;
		held.delete(grantId);
		held.set(grantId, {...grant, isFirstTokenReported: firstTokenMs !== undefined});
		return {grantId, tokens, firstTokenMs: isReported ? undefined : firstTokenMs};
	}

	function moveGrants(lost: string): void {
		for (const [duty, owner] of owners) {
			if (owner === lost && listHeld(duty).length > 0) {
				applyOwner(duty, host.findOwner(duty, [lost]) ?? node);
			}
		}
	}

	const timer = setInterval(sendProgress, options.progressMs);
	timer.unref();
	network.events.on('lost', ({data}) => {
		moveGrants(data.node);
	});

	return {
		acquire: (asked, signal) => new ResultAsync(acquire(asked, signal).catch((error: unknown) => err(toValvesaddleError(error)))),
		progress(grantId, tokens, firstTokenMs) {
			const grant = held.get(grantId);
			if (grant !== undefined) {
				held.set(grantId, {...grant, tokens, firstTokenMs: grant.firstTokenMs ?? firstTokenMs});
			}
		},
		release(report) {
			const grant = held.get(report.grantId);
			if (grant === undefined) {
				return;
			}

			const duty = findDuty(grant);
			held.delete(report.grantId);
			getPort(owners.get(duty) ?? node).release({...report, duty});
		},
		close() {
			clearInterval(timer);
		},
	};
}
