import {hash} from 'node:crypto';

const digestLength = 22;

/**
 Returns the digest under which the claim of an account and key is stored.

 @example
 toClaimDigest('sawmill', 'permit-77').length; // 22
 */
export function toClaimDigest(account: string, key: string): string {
	return hash('sha256', `${account}\n${key}`, 'base64url').slice(0, digestLength);
}
