import {hash, randomBytes} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Access, AccessRequest} from '@valvesaddle/access';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Job, JobClaim} from '@valvesaddle/execution';
import type {Pool} from '@valvesaddle/types';
import type {Caller} from './caller.ts';
import {getHeader} from './get-header.ts';
import {headerNames} from './header-names.ts';
import type {JobOptions} from './job-options.ts';

const fingerprintLength = 22;
const requestIdBytes = 12;
const tracedHeaders = ['traceparent', 'tracestate'];

/**
The part of a job that is common to chat completions and plain services.
*/
type JobBase = Access & Pick<Job, 'requestId' | 'account' | 'claim' | 'trace' | 'arrivedAt'>;

type RequestedWork = Pick<AccessRequest, 'kind' | 'model'> & {
	/**
	Text of which the fingerprint is taken, to detect an idempotency key reused for a different request.
	*/
	readonly text: string;
};

/**
 Builds the part of a job that is common to chat completions and plain services.

 @throws `ERR_VALVESADDLE_UNKNOWN_MODEL`, `…UNBOUND_ACCOUNT`, `…CLASS_NOT_ALLOWED`, `…IDEMPOTENCY_KEY_REQUIRED`.
 @example
 buildJobBase(caller, {kind: 'engine', model: 'drafting', text}, {node, region, access}).requestId; // 'a1_5f…'
 */
export function buildJobBase({request, account}: Caller, {kind, model, text}: RequestedWork, options: JobOptions): JobBase {
	const access = options.access.resolve({
		account: account.name, kind, model, region: options.region, className: getHeader(request, headerNames.className),
	});
	if (access.isErr()) {
		throw access.error;
	}

	return {
		...access.value,
		requestId: `${options.node}_${randomBytes(requestIdBytes).toString('hex')}`,
		account: account.name,
		claim: toClaim(request, text, access.value.pool),
		trace: pickTrace(request),
		arrivedAt: performance.now(),
	};
}

function toClaim(request: IncomingMessage, text: string, pool: Pool): JobClaim | undefined {
	const key = getHeader(request, headerNames.idempotencyKey);
	if (key === undefined && !pool.repeatable) {
		throw new ValvesaddleError('ERR_VALVESADDLE_IDEMPOTENCY_KEY_REQUIRED', `requests to "${pool.model}" run at most once`);
	}

	return key === undefined ? undefined : {key, fingerprint: hash('sha256', text, 'base64url').slice(0, fingerprintLength)};
}

function pickTrace({headers}: IncomingMessage): Readonly<Record<string, string>> {
	return Object.fromEntries(tracedHeaders.flatMap(name => {
		const value = headers[name];
		return typeof value === 'string' ? [[name, value]] : [];
	}));
}
