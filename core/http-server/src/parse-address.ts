/**
A host and a port.
*/
type HostPort = {
	readonly host: string;
	readonly port: number;
};

/**
 Splits an address into host and port.

 @example
 parseAddress('[::1]:7100'); // {host: '::1', port: 7100}
 */
export function parseAddress(address: string): HostPort {
	const index = address.lastIndexOf(':');
	return {host: address.slice(0, index).replaceAll(/[\[\]]/gv, ''), port: Number(address.slice(index + 1))};
}
