import type {ShareRequest} from '@valvesaddle/demand';
import type {ForwardRequest} from './forward-request.ts';

/**
 Converts a request to what shares depend on.

 @example
 toShareRequest(request, false).account; // 'sawmill'
 */
export function toShareRequest(request: Pick<ForwardRequest, 'metadata' | 'route' | 'pool' | 'account'>, isReturned: boolean): ShareRequest {
	const {metadata, route, pool, account} = request;
	return {
		id: metadata.requestId ?? '-',
		pool,
		priority: route.priority,
		account: account?.name ?? '',
		promptTokens: metadata.promptTokens,
		outputTokens: metadata.outputTokens,
		isReturned,
	};
}
