import {err, ok} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {GatewayAccount, GatewayConfiguration, Route} from '@valvesaddle/gateway-types';
import {hashApiKey} from './hash-api-key.ts';
import type {RouteIndex} from './route-index.ts';

/**
 Creates the route index of a configuration. Prefixes are looked up segment by segment, so the cost of a lookup doesn't grow with
 the number of routes.

 @example
 const index = createRouteIndex(configuration);
 index.findRoute('permits.example', '/draft/7').map(route => route.name);
 */
export function createRouteIndex(configuration: GatewayConfiguration): RouteIndex {
	const hosts = new Map<string, Map<string, Route>>();
	for (const route of configuration.routes) {
		const host = route.host.toLowerCase();
		const prefixes = hosts.get(host) ?? new Map<string, Route>();
		prefixes.set(route.prefix, route);
		hosts.set(host, prefixes);
	}

	const accounts = new Map<string, GatewayAccount>();
	for (const account of configuration.accounts) {
		for (const keyHash of account.keyHashes) {
			accounts.set(keyHash, account);
		}
	}

	const pools = new Map(configuration.pools.map(pool => [pool.name, pool]));

	return {
		version: configuration.version,
		findRoute(host, path) {
			const [name = ''] = host.toLowerCase().split(':', 1);
			const [pathname = ''] = path.split('?', 1);
			const route = findLongestPrefix(hosts.get(name), pathname);
			return route === undefined
				? err(new ValvesaddleError('ERR_VALVESADDLE_NO_ROUTE', `version ${configuration.version} has no route for this host and path`))
				: ok(route);
		},
		authenticate(route, apiKey) {
			const account = apiKey === undefined ? undefined : accounts.get(hashApiKey(apiKey));
			const isAllowed = account !== undefined || route.isPublic || configuration.accounts.length === 0;
			const reason = `no client account of version ${configuration.version} holds the key`;
			return isAllowed ? ok(account) : err(new ValvesaddleError('ERR_VALVESADDLE_UNAUTHENTICATED', reason));
		},
		findPool: name => pools.get(name),
	};
}

function findLongestPrefix(prefixes: ReadonlyMap<string, Route> | undefined, path: string): Route | undefined {
	if (prefixes === undefined) {
		return undefined;
	}

	for (let end = path.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
		const route = prefixes.get(path.slice(0, end + 1));
		if (route !== undefined) {
			return route;
		}
	}

	return undefined;
}
