/**
 Stands for the HTTP/2 side of `undici` in the bundle of a gateway node, which speaks HTTP/1.1 only. The runtime's own part for
 HTTP/2, which it would load, takes time and memory at each start.
 */
'use strict';

const throwMissing = () => {
	throw new TypeError('HTTP/2 is not part of the program');
};

module.exports = throwMissing;
