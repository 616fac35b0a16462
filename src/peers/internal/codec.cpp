#include "peers/internal/codec.h"

#include <algorithm>

namespace acaciasail::peers {

void encode(const Member &member, proto::Member &message)
{
    message.set_id(member.peer.id.str());
    message.set_data_centre(member.peer.dataCentre.str());
    message.set_ip(member.peer.endpoint.ip);
    message.set_port(member.peer.endpoint.port);
    message.set_incarnation(member.incarnation);
    message.set_state(static_cast<std::uint32_t>(member.state));
}

Member decode(const proto::Member &message)
{
    Member member;
    member.peer.id = kernel::VmId(message.id());
    member.peer.dataCentre = kernel::DataCentreId(message.data_centre());
    member.peer.endpoint.ip = message.ip();
    member.peer.endpoint.port = static_cast<unsigned short>(message.port());
    member.incarnation = message.incarnation();
    const auto last = static_cast<std::uint32_t>(MemberState::Failed);
    member.state = static_cast<MemberState>(std::min(message.state(), last));
    return member;
}

void encode(const RowUpdate &row, proto::Row &message)
{
    message.set_key(row.key);
    message.set_value(row.value);
    message.set_revision(row.revision.count());
    message.set_deleted(row.deleted);
    message.set_edit(row.edit.str());
}

RowUpdate decode(const proto::Row &message)
{
    RowUpdate row;
    row.key = message.key();
    row.value = message.value();
    row.revision = kernel::Revision(message.revision());
    row.deleted = message.deleted();
    row.edit = kernel::EditId(message.edit());
    return row;
}

} // namespace acaciasail::peers
