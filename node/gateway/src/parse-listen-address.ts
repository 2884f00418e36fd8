/**
A host and a port.
*/
type ListenAddress = {
	readonly host: string;
	readonly port: number;
};

/**
 Splits `ip:port`.

 @example
 parseListenAddress('10.0.0.4:8227'); // {host: '10.0.0.4', port: 8227}
 */
export function parseListenAddress(address: string): ListenAddress {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}
