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
Refusals after which the request is sent to another dispatcher of the same pool, if there is one.
*/
const retryableRefusals: ReadonlySet<string> = new Set(['ERR_VALVESADDLE_OVERLOADED', 'ERR_VALVESADDLE_NO_ENDPOINT']);
/**
After this many redirects, the next node has to dispatch even if it isn't the owner in its own view.
*/
const maximumRedirects = 3;
/**
A request that waited this long at a dispatcher is considered admitted to its queue.
*/
const queuedAfterMs = 100;
/**
Bounds the size of the progress messages of a node with many streams.
*/
const maximumReportsPerRound = 40;

type SettledReply = Exclude<AcquireReply, {readonly kind: 'moved'}>;

/**
 Creates the dispatch client of a node. If the dispatcher of a pool is lost or its duty moves, the client registers its
 open grants with the next one and sends waiting requests there, with the time waited so far.

 @example
 const grant = await client.acquire(parameters, signal);
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
	Finds the duty of a grant by its endpoint. It may change with the configuration while the grant is open.
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

	async function callOwner(owner: string, request: AcquireRequest): Promise<AcquireReply | undefined> {
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
	Calls the dispatcher of a duty, on any node, until it grants or refuses.
	*/
	async function acquireFromDuty(duty: string, parameters: AcquireParameters, signal: AbortSignal): Promise<SettledReply> {
		const {arrivedAt, resumes, pool: _pool, ...rest} = parameters;
		const skipped: string[] = [];
		let redirects = 0;
		let target: string | undefined;
		let isAdmitted = resumes;
		for (;;) {
			if (signal.aborted) {
				throw new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the caller went away while the request waited');
			}

			const owner = target ?? host.findOwner(duty, skipped) ?? node;
			const calledAt = performance.now();
			// eslint-disable-next-line no-await-in-loop -- each owner is called after the previous one failed
			const reply = await callOwnerCancellably(owner, signal, {
				...rest,
				duty,
				node,
				dataCentre: options.dataCentre,
				waitedMs: Math.round(performance.now() - arrivedAt),
				admitted: isAdmitted,
				skipped,
				forced: redirects >= maximumRedirects,
			});
			target = undefined;
			if (reply === undefined) {
				skipped.push(owner);
				isAdmitted ||= performance.now() - calledAt >= queuedAfterMs;
			} else if (reply.kind === 'moved') {
				redirects++;
				target = reply.owner;
				isAdmitted ||= reply.admitted;
			} else {
				return reply;
			}
		}
	}

	async function acquire(parameters: AcquireParameters, signal: AbortSignal): Promise<Result<Grant, ValvesaddleError>> {
		const duties = host.duties();
		const duty = duties.chooseDuty(parameters.pool, parameters.session ?? parameters.requestId);
		const reply = await acquireFromDuty(duty, parameters, signal);
		const other = reply.kind === 'refused' && retryableRefusals.has(reply.code) ? duties.chooseOther(parameters.pool, duty) : undefined;
		return toResult(other === undefined ? reply : await acquireFromDuty(other, parameters, signal), parameters);
	}

	async function callOwnerCancellably(owner: string, signal: AbortSignal, request: AcquireRequest): Promise<AcquireReply | undefined> {
		const cancel = (): void => {
			getPort(owner).cancel({duty: request.duty, requestId: request.requestId});
		};

		signal.addEventListener('abort', cancel, {once: true});
		try {
			return await callOwner(owner, request);
		} finally {
			signal.removeEventListener('abort', cancel);
		}
	}

	function toResult(reply: SettledReply, parameters: AcquireParameters): Result<Grant, ValvesaddleError> {
		if (reply.kind === 'refused') {
			return err(new ValvesaddleError(reply.code, reply.message, {retryAfterMs: reply.retryAfterMs}));
		}

		const {grantId, endpointId} = reply.grant;
		held.set(grantId, {
			open: {
				grantId, requestId: parameters.requestId, endpointId, account: parameters.account, className: parameters.className, tokens: 0,
			},
			pool: parameters.pool,
			tokens: 0,
			firstTokenMs: undefined,
			isFirstTokenReported: false,
		});
		return ok(reply.grant);
	}

	/**
	Renews all grants and reports the progress of a limited number per round, least recently reported first.
	*/
	function sendProgress(): void {
		const due = held.values().take(maximumReportsPerRound).toArray();
		const duties = new Set(held.values().map(grant => findDuty(grant)));
		for (const duty of duties) {
			const owner = host.findOwner(duty, []) ?? node;
			applyOwner(duty, owner);
			const reports = due.filter(grant => findDuty(grant) === duty).map(grant => toReport(grant));
			getPort(owner).progress({duty, node, reports});
		}
	}

	/**
	Creates the progress report of a grant; the time of its first token is reported once.
	*/
	function toReport(grant: HeldGrant): ProgressReport {
		const {open: {grantId}, tokens, firstTokenMs, isFirstTokenReported} = grant;
		held.delete(grantId);
		held.set(grantId, {...grant, isFirstTokenReported: firstTokenMs !== undefined});
		return {grantId, tokens, firstTokenMs: isFirstTokenReported ? undefined : firstTokenMs};
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
		acquire: (parameters, signal) => new ResultAsync(acquire(parameters, signal).catch((error: unknown) => err(toValvesaddleError(error)))),
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
