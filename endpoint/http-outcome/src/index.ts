export {classifySendFailure} from './classify-send-failure.ts';
export {classifyStatus} from './classify-status.ts';
