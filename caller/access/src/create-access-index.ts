import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {
	Binding,
	ClientAccount,
	Configuration,
	Pool,
	RequestClass,
} from '@valvesaddle/types';
import type {Access} from './access.ts';
import type {AccessIndex} from './access-index.ts';
import type {AccessRequest} from './access-request.ts';
import {hashKey} from './hash-key.ts';

const bearerPattern = /^bearer (?<key>\S+)$/iv;

/**
 Creates the index of client accounts, their keys and their bindings to pools.

 @example
 const index = createAccessIndex(configuration);
 index.authenticate('Bearer key-1').isOk();
 */
export function createAccessIndex(configuration: Configuration): AccessIndex {
	const accounts = new Map(configuration.accounts.flatMap(account => account.keyHashes.map(keyHash => [keyHash, account] as const)));
	const classes = new Map(configuration.classes.map(requestClass => [requestClass.name, requestClass]));
	const bindings = new Map(configuration.bindings.map(binding => [`${binding.account}:${binding.pool}`, binding]));

	function findBinding({account, kind, model, region}: AccessRequest): Result<{readonly pool: Pool; readonly binding: Binding}, ValvesaddleError> {
		const candidates = configuration.pools.filter(pool => pool.kind === kind && (pool.model === model || pool.name === model));
		if (candidates.length === 0) {
			return err(new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_MODEL', `no ${kind} pool serves "${model}"`));
		}

		const byRegion = candidates.toSorted((a, b) => Number(b.region === region) - Number(a.region === region));
		for (const pool of byRegion) {
			const binding = bindings.get(`${account}:${pool.name}`);
			if (binding !== undefined) {
				return ok({pool, binding});
			}
		}

		return err(new ValvesaddleError('ERR_VALVESADDLE_UNBOUND_ACCOUNT', `client account "${account}" is not bound to "${model}"`));
	}

	function pickClass(binding: Binding, className: string | undefined): Result<RequestClass, ValvesaddleError> {
		const [defaultName] = binding.classes;
		const defaultClass = classes.get(defaultName ?? '');
		const requested = className === undefined ? defaultClass : classes.get(className);
		const isAllowed = requested !== undefined && defaultClass !== undefined && binding.classes.includes(requested.name) && requested.priority >= defaultClass.priority;
		return isAllowed ? ok(requested) : err(new ValvesaddleError('ERR_VALVESADDLE_CLASS_NOT_ALLOWED', `class "${className ?? ''}" is not allowed for client account "${binding.account}" on pool "${binding.pool}"`));
	}

	return {
		authenticate(authorization) {
			const key = bearerPattern.exec(authorization ?? '')?.groups?.key;
			const account = key === undefined ? undefined : accounts.get(hashKey(key));
			return account === undefined ? err(new ValvesaddleError('ERR_VALVESADDLE_UNAUTHENTICATED', 'the API key is missing or unknown')) : ok(account);
		},
		resolve: request => findBinding(request).andThen(({pool, binding}) => pickClass(binding, request.className).map((requestClass): Access => ({pool, requestClass}))),
		listModels: account => configuration.pools.filter(({kind, name}) => kind === 'engine' && bindings.has(`${account}:${name}`)).map(({model}) => model),
	};
}
