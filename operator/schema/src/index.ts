export * from './generated/valvesaddle/operator/v1/operator_pb.ts';
