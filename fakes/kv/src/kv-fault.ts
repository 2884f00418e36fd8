/**
 What goes wrong with a call.

 - `refuse`: answered 503, without effect.
 - `drop-before`: the connection breaks, without effect.
 - `drop-after`: the connection breaks after the effect.
 - `late`: the connection breaks at once, the effect comes before the next write.
 - `freeze`: no answer while the fault lasts, without effect.
 - `garbage`: an answer that is not JSON.
 */
export type KvFault = 'refuse' | 'drop-before' | 'drop-after' | 'late' | 'freeze' | 'garbage';
