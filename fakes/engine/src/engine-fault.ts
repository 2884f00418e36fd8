/**
 What goes wrong with an engine.

 - `refuse`: new requests are answered 503, not run.
 - `busy`: the same, and the engine asks for a pause that no test outlasts.
 - `fail`: new requests are answered 500, maybe run.
 - `freeze`: no token comes while the fault lasts.
 - `truncate`: the next answer ends early without its end mark.
 - `garbage`: the next answer holds a chunk that is not JSON.
 */
export type EngineFault = 'refuse' | 'busy' | 'fail' | 'freeze' | 'truncate' | 'garbage';
