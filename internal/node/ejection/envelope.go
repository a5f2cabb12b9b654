package ejection

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/health/report"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// maxNameBytes is the length of the longest name of a data centre or a region.
const maxNameBytes = 255

// encodeReport encodes a report with its sender as a peerpb.SentReport.
func encodeReport(from member.Member, r report.Report) ([]byte, error) {
	payload, err := report.EncodeReport(r)
	if err != nil {
		return nil, err
	}
	address, err := from.Address.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&peerpb.SentReport{
		Address:     address,
		Incarnation: from.Incarnation,
		DataCentre:  from.DataCentre,
		Region:      from.Region,
		Report:      payload,
	})
}

// decodeReport is the inverse of encodeReport.
func decodeReport(payload []byte) (member.Member, report.Report, error) {
	var w peerpb.SentReport
	if err := proto.Unmarshal(payload, &w); err != nil {
		return member.Member{}, report.Report{}, err
	}
	from := member.Member{Incarnation: w.GetIncarnation(), DataCentre: w.GetDataCentre(), Region: w.GetRegion()}
	var err error
	if from.Address, err = nodetable.ParseAddress(w.GetAddress()); err != nil {
		return member.Member{}, report.Report{}, err
	}
	if n := max(len(from.DataCentre), len(from.Region)); n > maxNameBytes {
		return member.Member{}, report.Report{}, fmt.Errorf("report of %s names a data centre or a region of %d bytes, at most %d", from.Address, n, maxNameBytes)
	}
	r, err := report.DecodeReport(w.GetReport())
	return from, r, err
}
