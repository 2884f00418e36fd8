import type {AnswerLog, AnswerStore} from '@valvesaddle/answers';
import {claimRequestSchema, type ClaimClient} from '@valvesaddle/claims';
import type {ConfigFollower} from '@valvesaddle/config-follower';
import {ValvesaddleError} from '@valvesaddle/error';
import type {DispatchHost} from '@valvesaddle/host';
import type {Membership} from '@valvesaddle/membership';
import {
	acquireRequestSchema,
	cancelMessageSchema,
	progressMessageSchema,
	registerRequestSchema,
	releaseReportSchema,
} from '@valvesaddle/messages';
import type {PeerHandlers} from '@valvesaddle/network';
import * as z from 'zod';
import type {AnswerMessage} from './answer-message.ts';
import type {AnswerReaders} from './answer-readers.ts';
import type {CatchUp} from './catch-up.ts';
import {compareSchema} from './compare-schema.ts';
import {fitPage} from './fit-page.ts';
import {fitReply} from './fit-reply.ts';
import {readRequestSchema} from './read-request-schema.ts';

type PeerHandlerOptions = {
	readonly host: DispatchHost;
	readonly claims: ClaimClient;
	readonly answers: AnswerStore;
	readonly readers: AnswerReaders;
	readonly follower: ConfigFollower;
	readonly membership: Membership;
	readonly catchUp: CatchUp;
};

const maximumReadMs = 5000;

/**
 Creates the handlers of all methods that peers call on a node.

 @example
 await network.listen(createPeerHandlers(options));
 */
export function createPeerHandlers(options: PeerHandlerOptions): PeerHandlers {
	const {host, claims, answers, readers, follower, membership} = options;
	const getNewerRecord = (revision: number): string | undefined => follower.revision() > revision ? follower.text() : undefined;

	return {
		'dispatch.acquire': async parameters => host.acquire(parse(acquireRequestSchema, parameters)),
		'dispatch.cancel'(parameters) {
			host.cancel(parse(cancelMessageSchema, parameters));
		},
		'dispatch.release'(parameters) {
			host.release(parse(releaseReportSchema, parameters));
		},
		'dispatch.progress'(parameters) {
			host.progress(parse(progressMessageSchema, parameters));
		},
		'dispatch.register'(parameters) {
			host.register(parse(registerRequestSchema, parameters));
		},
		'claims.claim': async parameters => claims.serve('claim', parse(claimRequestSchema, parameters)),
		'claims.release': async parameters => claims.serve('release', parse(claimRequestSchema, parameters)),
		'claims.find': async parameters => claims.serve('find', parse(claimRequestSchema, parameters)),
		async 'answer.read'(parameters, peer) {
			const {requestId, account, offset, replyOffset} = parse(readRequestSchema, parameters);
			const log = answers.find(requestId);
			if (log?.account !== account) {
				throw new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_REQUEST', `no answer is kept under ${requestId}`);
			}

			readers.start(peer, requestId);
			const page = await readPage(log, offset, replyOffset);
			readers.finish(peer, requestId, page.end !== undefined && page.replyRest === 0);
			return page;
		},
		'configuration.compare'(parameters, peer) {
			const {revision} = parse(compareSchema, parameters);
			if (revision > follower.revision()) {
				options.catchUp(revision, peer);
			}

			return getNewerRecord(revision);
		},
		'peer.leaving'(_parameters, peer) {
			membership.markLeaving(peer);
		},
	};
}

/**
Reads a page as a reader of the log, which is not abandoned while readers on other nodes ask for page after page.
*/
async function readPage(log: AnswerLog, offset: number, replyOffset: number | undefined): Promise<AnswerMessage> {
	log.attach();
	try {
		const page = await log.readWithin(offset, maximumReadMs);
		// A large message delays urgent calls behind it, and one over 2 MiB breaks the link.
		return replyOffset !== undefined && page.end?.kind === 'reply' ? fitReply(page.end, replyOffset) : {...fitPage(page), replyRest: 0};
	} finally {
		log.detach();
	}
}

function parse<Schema extends z.ZodType>(schema: Schema, parameters: unknown): z.output<Schema> {
	const parsed = schema.safeParse(parameters);
	if (!parsed.success) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', z.prettifyError(parsed.error));
	}

	return parsed.data;
}
