import {
	err,
	ok,
	ResultAsync,
	type Result,
} from 'neverthrow';
import {toValvesaddleError, ValvesaddleError} from '@valvesaddle/error';
import type {
	AcquireReply, AcquireRequest, Grant, ProgressReport,
} from '@valvesaddle/messages';
import type {AcquireAsk} from './acquire-ask.ts';
import type {DispatchClient} from './dispatch-client.ts';
import type {DispatchClientOptions} from './dispatch-client-options.ts';
import type {DispatchPort} from './dispatch-port.ts';
import type {HeldGrant} from './held-grant.ts';
import {createRemotePort} from './create-remote-port.ts';

/**
After so many redirects the asked node has to dispatch, whatever it takes for the owner.
*/
const mostRedirects = 3;
/**
A request that waited so long at a dispatcher had been taken into its queue.
*/
const surelyQueuedMs = 100;
/** Grants named in one round of progress; bounds the bytes of a node with many streams. */
const mostReports = 40;

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

	function listHeld(pool: string): readonly HeldGrant[] {
		return held.values().filter(grant => grant.pool === pool).toArray();
	}

	function applyOwner(pool: string, owner: string): void {
		const before = owners.get(pool);
		if (before === owner) {
			return;
		}

		owners.set(pool, owner);
		const open = listHeld(pool).map(grant => ({...grant.open, tokens: grant.tokens}));
		if (open.length > 0) {
			getPort(owner).register({pool, node, grants: open});
		}

		if (before === undefined) {
			return;
		}

		metrics.increment('dispatch.owner-changes');
		options.logger.info({
			name: 'dispatcher-moved', pool, from: before, to: owner,
		});
	}

	async function ask(owner: string, request: AcquireRequest): Promise<AcquireReply | undefined> {
		try {
			applyOwner(request.pool, owner);
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

	async function acquire(asked: AcquireAsk, signal: AbortSignal): Promise<Result<Grant, ValvesaddleError>> {
		const {arrivedAt, resumes, ...rest} = asked;
		const skipped: string[] = [];
		let redirects = 0;
		let target: string | undefined;
		let isAdmitted = resumes;
		for (;;) {
			if (signal.aborted) {
				return err(new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the caller went away while the request waited'));
			}

			const owner = target ?? host.findOwner(rest.pool, skipped) ?? node;
			const askedAt = Date.now();
			// eslint-disable-next-line no-await-in-loop -- each owner is asked after the one before failed
			const reply = await askCancellably(owner, signal, {
				...rest,
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
				continue;
			}

			if (reply.kind === 'moved') {
				redirects++;
				target = reply.owner;
				isAdmitted ||= reply.admitted;
				continue;
			}

			return settle(reply, asked);
		}
	}

	async function askCancellably(owner: string, signal: AbortSignal, request: AcquireRequest): Promise<AcquireReply | undefined> {
		const cancel = (): void => {
			getPort(owner).cancel({pool: request.pool, requestId: request.requestId});
		};

		signal.addEventListener('abort', cancel, {once: true});
		try {
			return await ask(owner, request);
		} finally {
			signal.removeEventListener('abort', cancel);
		}
	}

	function settle(reply: Exclude<AcquireReply, {kind: 'moved'}>, asked: AcquireAsk): Result<Grant, ValvesaddleError> {
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
			isReported: false,
		});
		return ok(reply.grant);
	}

	/** Renews all grants; names only so many of them in one round, those that were not named for longest. */
	function sendProgress(): void {
		const due = held.values().take(mostReports).toArray();
		const pools = new Set(held.values().map(({pool}) => pool));
		for (const pool of pools) {
			const owner = host.findOwner(pool, []) ?? node;
			applyOwner(pool, owner);
			const reports = due.filter(grant => grant.pool === pool).map(grant => toReport(grant));
			getPort(owner).progress({pool, node, reports});
		}
	}

	/** What is new of a grant; the time of its first token is told once. */
	function toReport(grant: HeldGrant): ProgressReport {
		const {open: {grantId}, tokens, firstTokenMs, isReported} = grant;
		held.delete(grantId);
		held.set(grantId, {...grant, isReported: firstTokenMs !== undefined});
		return {grantId, tokens, firstTokenMs: isReported ? undefined : firstTokenMs};
	}

	function moveGrants(lost: string): void {
		for (const [pool, owner] of owners) {
			if (owner === lost && listHeld(pool).length > 0) {
				applyOwner(pool, host.findOwner(pool, [lost]) ?? node);
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
			held.delete(report.grantId);
			getPort(owners.get(report.pool) ?? node).release(report);
		},
		close() {
			clearInterval(timer);
		},
	};
}
